#include "Bench/BenchTable.h"
#include "Transport/GrpcThreads.h"

int main(int argc, char** argv)
{
    using namespace Lavenderloft;
    Transport::disableMutexDeadlockDetection();
    return CommandLine::CommandTable("lavenderloft-bench", Bench::makeBenchmarks()).run(argc, argv);
}
