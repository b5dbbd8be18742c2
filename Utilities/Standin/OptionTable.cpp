#include "Standin/OptionTable.h"

#include <functional>
#include <memory>

namespace Lavenderloft::Standin {

// One option: where popt stores its value, and how that value is passed on.
struct OptionTable::Entry {
    const char* name;
    int kind;
    const char* help;
    const char* argument;
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

OptionTable::OptionTable(std::string subcommand)
    : m_subcommand(std::move(subcommand))
{
}

OptionTable::~OptionTable() = default;

OptionTable::Entry& OptionTable::add(const char* name, int kind, const char* help, const char* argument)
{
    return m_entries.emplace_back(Entry { name, kind, help, argument });
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

Base::Result<Base::Done, OptionError> OptionTable::parse(const std::vector<std::string>& arguments)
{
    std::vector<poptOption> options;
    int value = 0;
    for (auto& entry : m_entries)
        options.push_back({ entry.name, '\0', static_cast<unsigned>(entry.kind), entry.storage(), ++value, entry.help, entry.argument });
    int helpValue = ++value;
    options.push_back({ "help", 'h', POPT_ARG_NONE, nullptr, helpValue, "Show this help", nullptr });
    options.push_back(POPT_TABLEEND);
    std::vector<const char*> argv { m_subcommand.c_str() };
    for (auto& argument : arguments)
        argv.push_back(argument.c_str());
    std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(m_subcommand.c_str(), static_cast<int>(argv.size()), argv.data(), options.data(), 0), poptFreeContext);
    auto remedy = "see lavenderloft-standin " + m_subcommand + " --help";
    int option = 0;
    while ((option = poptGetNextOpt(context.get())) > 0) {
        if (option == helpValue)
            return OptionError { OptionErrorKind::HelpRequested, helpText(), {} };
        m_entries[static_cast<size_t>(option - 1)].given = true;
    }
    if (option < -1)
        return OptionError { OptionErrorKind::Malformed, std::string("option ") + poptBadOption(context.get(), 0) + ": " + poptStrerror(option), remedy };
    if (const char* extra = poptGetArg(context.get()))
        return OptionError { OptionErrorKind::Malformed, "argument \"" + std::string(extra) + "\" is not expected", remedy };
    for (auto& entry : m_entries) {
        if (entry.given && !entry.assign(entry))
            return OptionError { OptionErrorKind::Malformed, "option --" + std::string(entry.name) + " is out of range", remedy };
    }
    return Base::Done {};
}

std::string OptionTable::helpText() const
{
    std::string text = "Usage: lavenderloft-standin " + m_subcommand + " [OPTIONS]\n\n";
    for (auto& entry : m_entries)
        text += "  --" + std::string(entry.name) + (*entry.argument ? "=" + std::string(entry.argument) : "") + "\n      " + entry.help + "\n";
    return text;
}

} // namespace Lavenderloft::Standin
