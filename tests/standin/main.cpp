#include "standin.h"

#include <popt.h>

#include <iostream>

int main(int argc, char **argv)
{
    char *upstream = nullptr;
    const poptOption options[] = {{"upstream", 'u', POPT_ARG_STRING, &upstream, 0,
                                   "Serve an upstream with this id instead of the platform", "ID"},
                                  POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("chicorywick-standin", argc,
                                         const_cast<const char **>(argv), options, 0);
    poptSetOtherOptionHelp(context, "[--upstream ID] [ZONE...]");
    const int status = poptGetNextOpt(context);
    std::vector<std::string> zones;
    while (const char *zone = poptGetArg(context))
        zones.emplace_back(zone);
    poptFreeContext(context);
    if (status < -1 || (upstream == nullptr && zones.empty())) {
        std::cerr << "usage: chicorywick-standin --upstream ID | ZONE...\n";
        return 2;
    }
    return upstream != nullptr ? chicorywick::standin::serveUpstream(upstream)
                               : chicorywick::standin::servePlatform(zones);
}
