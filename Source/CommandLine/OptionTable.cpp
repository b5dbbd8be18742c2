#include "CommandLine/OptionTable.h"

#include <functional>
#include <iostream>
#include <limits>
#include <memory>

namespace Lavenderloft::CommandLine {

// One option: where popt stores its value, and how that value is passed on.
struct OptionTable::Entry {
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
    std::function<bool(const Entry&)> assign;

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

    ~Entry()
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

OptionTable::Entry& OptionTable::add(const char* name, int kind, const char* help, const char* valueName)
{
    return m_entries.emplace_back(Entry { name, kind, help, valueName });
}

OptionTable& OptionTable::shortName(char letter, const char* valueName)
{
    m_entries.back().letter = letter;
    if (valueName)
        m_entries.back().valueName = valueName;
    return *this;
}

OptionTable& OptionTable::text(const char* name, std::string& target, const char* help)
{
    add(name, POPT_ARG_STRING, help, "TEXT").assign = [&target](auto& entry) {
        target = entry.textValue;
        return true;
    };
    return *this;
}

OptionTable& OptionTable::texts(const char* name, std::vector<std::string>& target, const char* help)
{
    add(name, POPT_ARG_ARGV, help, "TEXT").assign = [&target](auto& entry) {
        for (char** value = entry.textValues; value && *value; ++value)
            target.emplace_back(*value);
        return true;
    };
    return *this;
}

OptionTable& OptionTable::number(const char* name, uint64_t& target, const char* help)
{
    add(name, POPT_ARG_LONGLONG, help, "NUMBER").assign = [&target](auto& entry) {
        target = static_cast<uint64_t>(entry.numberValue);
        return entry.numberValue >= 0;
    };
    return *this;
}

OptionTable& OptionTable::number(const char* name, int& target, const char* help)
{
    add(name, POPT_ARG_LONGLONG, help, "NUMBER").assign = [&target](auto& entry) {
        target = static_cast<int>(entry.numberValue);
        return entry.numberValue >= 0 && entry.numberValue <= std::numeric_limits<int>::max();
    };
    return *this;
}

OptionTable& OptionTable::real(const char* name, double& target, const char* help)
{
    add(name, POPT_ARG_DOUBLE, help, "NUMBER").assign = [&target](auto& entry) {
        target = entry.realValue;
        return entry.realValue > 0;
    };
    return *this;
}

OptionTable& OptionTable::milliseconds(const char* name, std::chrono::milliseconds& target, const char* help)
{
    add(name, POPT_ARG_LONGLONG, help, "MILLISECONDS").assign = [&target](auto& entry) {
        target = std::chrono::milliseconds(entry.numberValue);
        return entry.numberValue >= 0;
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

OptionTable& OptionTable::arguments(std::vector<std::string>& target, size_t least, size_t greatest)
{
    m_arguments = &target;
    m_leastArguments = least;
    m_greatestArguments = greatest;
    return *this;
}

Base::Result<Base::Done, OptionError> OptionTable::parse(const std::vector<std::string>& arguments)
{
    // popt returns the place in the table, counted from one, for each option that it reads.
    std::vector<poptOption> table;
    int value = 0;
    for (auto& entry : m_entries)
        table.push_back({ entry.name, entry.letter, static_cast<unsigned>(entry.kind), entry.storage(), ++value, entry.help, entry.valueName });
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
        auto place = static_cast<size_t>(status - 1);
        if (place == m_entries.size())
            return OptionError { OptionErrorKind::HelpRequested, helpText(), {} };
        m_entries[place].given = true;
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
    if (found.size() < m_leastArguments)
        return malformed("an argument is missing");
    if (found.size() > m_greatestArguments)
        return malformed("argument \"" + found[m_greatestArguments] + "\" is one too many");
    if (m_arguments)
        *m_arguments = std::move(found);
    return Base::Done {};
}

Base::Result<Base::Done, OptionError> OptionTable::assignValues()
{
    for (auto& entry : m_entries) {
        if (entry.given && !entry.assign(entry))
            return malformed("option --" + std::string(entry.name) + " is out of range");
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
    for (auto& entry : m_entries) {
        auto letter = entry.letter ? std::string { '-', entry.letter, ',', ' ' } : std::string();
        auto value = *entry.valueName ? "=" + std::string(entry.valueName) : std::string();
        text += "  " + letter + "--" + entry.name + value + "\n      " + entry.help + "\n";
    }
    return text + "  -h, --help\n      Show this help\n";
}

} // namespace Lavenderloft::CommandLine
