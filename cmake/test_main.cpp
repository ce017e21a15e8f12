#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>
#include <glog/logging.h>

// Log lines of the code under test would hide the report of a failed check; set GLOG_minloglevel to
// see them.
int main(int argc, char **argv)
{
    if (std::getenv("GLOG_minloglevel") == nullptr)
        FLAGS_minloglevel = google::FATAL;
    google::InitGoogleLogging(argv[0]);
    return doctest::Context(argc, argv).run();
}
