#include "CommandLine/CheckedInput.h"

#include "CommandLine/InputFile.h"
#include "DesiredState/Queries/ParseDocument.h"
#include "Settings/Queries/ParseSettings.h"

#include <iostream>

namespace Lavenderloft::CommandLine {

namespace {

    ExitCode reportInputError(const InputError& error)
    {
        std::cerr << error.describe() << '\n';
        return error.kind == InputErrorKind::TooLarge ? ExitCode::Refused : ExitCode::Usage;
    }

    ExitCode reportProblems(const std::string& path, const Json::CheckError& error)
    {
        for (auto& problem : error.problems)
            std::cerr << path << ": " << problem.describe() << '\n';
        return ExitCode::Refused;
    }

} // namespace

std::variant<DocumentInput, ExitCode> readDocumentInput(const std::string& path)
{
    auto bytes = readInputFile(path);
    if (!Base::succeeded(bytes))
        return reportInputError(Base::errorOf(bytes));
    auto document = DesiredState::Queries::parseDocument(Base::valueOf(bytes));
    if (!Base::succeeded(document))
        return reportProblems(path, Base::errorOf(document));
    auto& text = Base::valueOf(bytes);
    return DocumentInput { Base::takeValue(std::move(document)), DesiredState::Queries::documentDigest(text), text.size() };
}

std::variant<Settings::ProcessSettings, ExitCode> readSettingsInput(const std::string& path)
{
    auto bytes = readInputFile(path);
    if (!Base::succeeded(bytes))
        return reportInputError(Base::errorOf(bytes));
    auto settings = Settings::Queries::parseSettings(Base::valueOf(bytes));
    if (!Base::succeeded(settings))
        return reportProblems(path, Base::errorOf(settings));
    return Base::takeValue(std::move(settings));
}

} // namespace Lavenderloft::CommandLine
