#include "Bench/BenchTable.h"

int main(int argc, char** argv)
{
    using namespace Lavenderloft;
    return CommandLine::CommandTable("lavenderloft-bench", Bench::makeBenchmarks()).run(argc, argv);
}
