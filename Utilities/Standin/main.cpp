#include "Standin/SubcommandTable.h"

int main(int argc, char** argv)
{
    return Lavenderloft::Standin::runSubcommand(argc, argv);
}
