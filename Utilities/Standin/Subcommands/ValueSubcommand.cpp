#include "Standin/Subcommands/ValueSubcommand.h"

#include "Standin/FileContent.h"
#include "Standin/JsonValue.h"

#include <iostream>

namespace Lavenderloft::Standin::Subcommands {

void ValueSubcommand::addOptions(OptionTable& options)
{
    options.text("file", m_file, "JSON file").text("pointer", m_pointer, "JSON pointer of the value");
}

ExitCode ValueSubcommand::runWithOptions()
{
    std::cout << valueAt(readFile(m_file), m_pointer) << '\n';
    return ExitCode::Success;
}

} // namespace Lavenderloft::Standin::Subcommands
