#include <chicorywick/cli/cli.h>

#include <iostream>

int main(int argc, char **argv)
{
    return chicorywick::cli::runCli(std::vector<std::string>(argv + 1, argv + argc), std::cout,
                                    std::cerr);
}
