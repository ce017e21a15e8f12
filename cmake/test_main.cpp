#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>
#include <glog/logging.h>

// Logs below FATAL are off by default, because they would bury the report of a failed check. Set
// GLOG_minloglevel to enable them.
int main(int argc, char **argv)
{
    if (std::getenv("GLOG_minloglevel") == nullptr)
        FLAGS_minloglevel = google::FATAL;
    google::InitGoogleLogging(argv[0]);
    return doctest::Context(argc, argv).run();
}
