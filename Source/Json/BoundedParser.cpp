#include "Json/BoundedParser.h"

#include <algorithm>
#include <vector>

namespace Lavenderloft::Json {

namespace {

    // The parser quotes the text that it read last, which may be most of the document.
    constexpr size_t maximumMessageBytes = 160;

    // Keeps the start of a message, and replaces all but printable ASCII characters.
    std::string shortMessage(std::string_view text)
    {
        std::string message(text.substr(0, maximumMessageBytes));
        for (auto& c : message) {
            if (c < 0x20 || c > 0x7e)
                c = '?';
        }
        return message;
    }

    // Handles the events of nlohmann-json's SAX parser and builds the document until a limit is exceeded.
    class BoundedBuilder final : public nlohmann::json_sax<nlohmann::json> {
    public:
        explicit BoundedBuilder(const DocumentLimits& limits)
            : m_limits(limits)
        {
        }

        bool null() override { return add(nullptr); }
        bool boolean(bool value) override { return add(value); }
        bool number_integer(number_integer_t value) override { return add(value); }
        bool number_unsigned(number_unsigned_t value) override { return add(value); }
        bool number_float(number_float_t value, const string_t&) override { return add(value); }
        bool string(string_t& value) override { return add(std::move(value)); }
        // Binary values exist only in formats such as CBOR.
        bool binary(binary_t&) override { return false; }
        bool start_object(size_t) override { return open(nlohmann::json::object()); }
        bool start_array(size_t) override { return open(nlohmann::json::array()); }
        bool end_object() override { return close(); }
        bool end_array() override { return close(); }

        bool key(string_t& name) override
        {
            m_member = &(*m_open.back())[name];
            return true;
        }

        bool parse_error(size_t, const std::string&, const nlohmann::detail::exception& error) override
        {
            return fail(DocumentErrorKind::Malformed, shortMessage(error.what()), "write one JSON document in UTF-8");
        }

        nlohmann::json takeDocument() { return std::move(m_document); }
        const DocumentError& error() const { return m_error; }

    private:
        bool add(nlohmann::json value) { return place(std::move(value)) != nullptr; }

        bool open(nlohmann::json container)
        {
            if (m_open.size() == m_limits.nesting)
                return fail(DocumentErrorKind::TooDeep, "values are nested deeper than " + std::to_string(m_limits.nesting) + " levels", "reduce the nesting");
            auto* placed = place(std::move(container));
            if (placed)
                m_open.push_back(placed);
            return placed;
        }

        bool close()
        {
            m_open.pop_back();
            return true;
        }

        // Puts the value into the innermost open container, and returns where it is; null if there are too many values.
        nlohmann::json* place(nlohmann::json value)
        {
            if (++m_valueCount > m_limits.values) {
                fail(DocumentErrorKind::TooManyValues, "the document contains more than " + std::to_string(m_limits.values) + " values", "reduce the number of values");
                return nullptr;
            }
            auto* slot = nextSlot();
            *slot = std::move(value);
            return slot;
        }

        // An array grows only while its last element is closed, so pointers to open containers stay valid.
        nlohmann::json* nextSlot()
        {
            if (m_open.empty())
                return &m_document;
            auto& parent = *m_open.back();
            if (parent.is_object())
                return m_member;
            parent.push_back(nullptr);
            return &parent.back();
        }

        bool fail(DocumentErrorKind kind, std::string message, std::string remedy)
        {
            m_error = { kind, std::move(message), std::move(remedy) };
            return false;
        }

        const DocumentLimits m_limits;
        nlohmann::json m_document;
        std::vector<nlohmann::json*> m_open;
        // Where the value of the key that was read last goes.
        nlohmann::json* m_member = nullptr;
        size_t m_valueCount = 0;
        DocumentError m_error;
    };

} // namespace

Base::Result<nlohmann::json, DocumentError> parseBounded(std::string_view text, const DocumentLimits& limits)
{
    // The parser would take a NUL byte for the end of the text.
    if (text.find('\0') != std::string_view::npos)
        return DocumentError { DocumentErrorKind::Malformed, "the text contains a NUL byte", "write one JSON document in UTF-8" };
    BoundedBuilder builder(limits);
    if (!nlohmann::json::sax_parse(text.begin(), text.end(), &builder))
        return builder.error();
    return builder.takeDocument();
}

} // namespace Lavenderloft::Json
