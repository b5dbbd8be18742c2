#include "CommandLine/OptionTable.h"

#include <functional>
#include <iostream>
#include <limits>
#include <memory>

namespace Lavenderloft::CommandLine {

// One option: the storage that popt writes to, and the function that assigns the value to the caller's variable.
struct OptionTable::Option {
    const char* name;
    int kind;
    const char* help;
    const char* valueName;
    char letter = '\0';
    char* textValue = nullptr;
    char** textValues = nullptr;
    long long numberValue = 0;
    double realValue = 0;
    int flagValue = 0;
    bool given = false;
    std::function<bool(const Option&)> assign;

    void* storage()
    {
        switch (kind) {
        case POPT_ARG_STRING:
            return &textValue;
        case POPT_ARG_ARGV:
            return &textValues;
        case POPT_ARG_LONGLONG:
            return &numberValue;
        case POPT_ARG_DOUBLE:
            return &realValue;
        default:
            return &flagValue;
        }
    }

    ~Option()
    {
        free(textValue);
        for (char** value = textValues; value && *value; ++value)
            free(*value);
        free(textValues);
    }
};

OptionTable::OptionTable(const std::string& program, const Command& command)
    : m_program(program + " " + command.name())
    , m_synopsis(command.argumentSynopsis())
    , m_summary(command.summary())
{
}

OptionTable::~OptionTable() = default;

OptionTable::Option& OptionTable::add(const char* name, int kind, const char* help, const char* valueName)
{
    return m_options.emplace_back(Option { name, kind, help, valueName });
}

OptionTable& OptionTable::shortName(char letter, const char* valueName)
{
    m_options.back().letter = letter;
    if (valueName)
        m_options.back().valueName = valueName;
    return *this;
}

OptionTable& OptionTable::text(const char* name, std::string& target, const char* help)
{
    add(name, POPT_ARG_STRING, help, "TEXT").assign = [&target](auto& option) {
        target = option.textValue;
        return true;
    };
    return *this;
}

OptionTable& OptionTable::texts(const char* name, std::vector<std::string>& target, const char* help)
{
    add(name, POPT_ARG_ARGV, help, "TEXT").assign = [&target](auto& option) {
        for (char** value = option.textValues; value && *value; ++value)
            target.emplace_back(*value);
        return true;
    };
    return *this;
}

OptionTable& OptionTable::number(const char* name, uint64_t& target, const char* help)
{
    add(name, POPT_ARG_LONGLONG, help, "NUMBER").assign = [&target](auto& option) {
        target = static_cast<uint64_t>(option.numberValue);
        return option.numberValue >= 0;
    };
    return *this;
}

OptionTable& OptionTable::number(const char* name, int& target, const char* help)
{
    add(name, POPT_ARG_LONGLONG, help, "NUMBER").assign = [&target](auto& option) {
        target = static_cast<int>(option.numberValue);
        return option.numberValue >= 0 && option.numberValue <= std::numeric_limits<int>::max();
    };
    return *this;
}

OptionTable& OptionTable::real(const char* name, double& target, const char* help)
{
    add(name, POPT_ARG_DOUBLE, help, "NUMBER").assign = [&target](auto& option) {
        target = option.realValue;
        return option.realValue > 0;
    };
    return *this;
}

OptionTable& OptionTable::milliseconds(const char* name, std::chrono::milliseconds& target, const char* help)
{
    add(name, POPT_ARG_LONGLONG, help, "MILLISECONDS").assign = [&target](auto& option) {
        target = std::chrono::milliseconds(option.numberValue);
        return option.numberValue >= 0;
    };
    return *this;
}

OptionTable& OptionTable::flag(const char* name, bool& target, const char* help)
{
    add(name, POPT_ARG_NONE, help, "").assign = [&target](auto&) {
        target = true;
        return true;
    };
    return *this;
}

OptionTable& OptionTable::arguments(std::vector<std::string>& target, size_t minimum, size_t maximum)
{
    m_arguments = &target;
    m_minimumArguments = minimum;
    m_maximumArguments = maximum;
    return *this;
}

Base::Result<Base::Done, OptionError> OptionTable::parse(const std::vector<std::string>& arguments)
{
    // popt returns the 1-based index in the table of each option that it reads.
    std::vector<poptOption> table;
    int value = 0;
    for (auto& option : m_options)
        table.push_back({ option.name, option.letter, static_cast<unsigned>(option.kind), option.storage(), ++value, option.help, option.valueName });
    table.push_back({ "help", 'h', POPT_ARG_NONE, nullptr, ++value, nullptr, nullptr });
    table.push_back(POPT_TABLEEND);
    std::vector<const char*> argv { m_program.c_str() };
    for (auto& argument : arguments)
        argv.push_back(argument.c_str());
    std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(m_program.c_str(), static_cast<int>(argv.size()), argv.data(), table.data(), 0), poptFreeContext);
    auto read = readOptions(context.get());
    if (!Base::succeeded(read))
        return read;
    read = readArguments(context.get());
    if (!Base::succeeded(read))
        return read;
    return assignValues();
}

Base::Result<Base::Done, OptionError> OptionTable::readOptions(poptContext context)
{
    int status = 0;
    while ((status = poptGetNextOpt(context)) > 0) {
        auto index = static_cast<size_t>(status - 1);
        if (index == m_options.size())
            return OptionError { OptionErrorKind::HelpRequested, helpText(), {} };
        m_options[index].given = true;
    }
    if (status < -1)
        return malformed(std::string("option ") + poptBadOption(context, 0) + ": " + poptStrerror(status));
    return Base::Done {};
}

Base::Result<Base::Done, OptionError> OptionTable::readArguments(poptContext context)
{
    std::vector<std::string> found;
    while (const char* argument = poptGetArg(context))
        found.emplace_back(argument);
    if (found.size() < m_minimumArguments)
        return malformed("an argument is missing");
    if (found.size() > m_maximumArguments)
        return malformed("argument \"" + found[m_maximumArguments] + "\" is unexpected");
    if (m_arguments)
        *m_arguments = std::move(found);
    return Base::Done {};
}

Base::Result<Base::Done, OptionError> OptionTable::assignValues()
{
    for (auto& option : m_options) {
        if (option.given && !option.assign(option))
            return malformed("option --" + std::string(option.name) + " is out of range");
    }
    return Base::Done {};
}

std::optional<ExitCode> OptionTable::parseOrExplain(const std::vector<std::string>& arguments)
{
    auto parsed = parse(arguments);
    if (Base::succeeded(parsed))
        return std::nullopt;
    auto& error = Base::errorOf(parsed);
    if (error.kind == OptionErrorKind::HelpRequested) {
        std::cout << error.message;
        return ExitCode::Success;
    }
    std::cerr << m_program << ": " << error.describe() << '\n';
    return ExitCode::Usage;
}

OptionError OptionTable::malformed(std::string message) const
{
    return { OptionErrorKind::Malformed, std::move(message), "see " + m_program + " --help" };
}

std::string OptionTable::helpText() const
{
    std::string text = "Usage: " + m_program + " " + m_synopsis + "\n" + m_summary + "\n" + "\nOptions:\n";
    for (auto& option : m_options) {
        auto letter = option.letter ? std::string { '-', option.letter, ',', ' ' } : std::string();
        auto value = *option.valueName ? "=" + std::string(option.valueName) : std::string();
        text += "  " + letter + "--" + option.name + value + "\n      " + option.help + "\n";
    }
    return text + "  -h, --help\n      Show this help\n";
}

} // namespace Lavenderloft::CommandLine
