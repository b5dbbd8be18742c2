#include "CommandLine/DiffCommand.h"

#include "CommandLine/CheckedInput.h"
#include "CommandLine/OptionTable.h"
#include "DesiredState/Queries/DiffDocuments.h"

#include <algorithm>
#include <iostream>

namespace Lavenderloft::CommandLine {

namespace {

    using DesiredState::Queries::Consequence;
    using DesiredState::Queries::Severity;

    std::string_view describeSeverity(Severity severity)
    {
        switch (severity) {
        case Severity::Note:
            return "";
        case Severity::Warning:
            return "warning: ";
        case Severity::Refusal:
            return "refused: ";
        }
        return "";
    }

    void print(const Consequence& consequence)
    {
        std::cout << describeSeverity(consequence.severity) << consequence.subject << ": " << consequence.message;
        if (!consequence.remedy.empty())
            std::cout << "; " << consequence.remedy;
        std::cout << '\n';
    }

} // namespace

ExitCode DiffCommand::run(const std::vector<std::string>& arguments)
{
    std::vector<std::string> paths;
    OptionTable options(programName, *this);
    if (auto code = options.arguments(paths, 2, 2).parseOrExplain(arguments))
        return *code;
    // Both files are read before checking for errors, so that the problems of both are printed.
    auto before = readDocumentInput(paths[0]);
    auto after = readDocumentInput(paths[1]);
    if (auto* code = std::get_if<ExitCode>(&before))
        return *code;
    if (auto* code = std::get_if<ExitCode>(&after))
        return *code;

    auto consequences = DesiredState::Queries::diffDocuments(std::get<DocumentInput>(before).document, std::get<DocumentInput>(after).document);
    for (auto& consequence : consequences)
        print(consequence);
    bool isRefused = std::any_of(consequences.begin(), consequences.end(),
        [](const Consequence& consequence) { return consequence.severity == Severity::Refusal; });
    return isRefused ? ExitCode::Refused : ExitCode::Success;
}

} // namespace Lavenderloft::CommandLine
