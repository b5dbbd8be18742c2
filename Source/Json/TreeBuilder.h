#pragma once

#include "Json/ParsedFile.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace Lavenderloft::Json {

// Handles the events of nlohmann-json's SAX parser and builds the value tree. Reports duplicate keys and stops
// parsing when the nesting or the number of values exceeds its limit.
class TreeBuilder final : public nlohmann::json_sax<nlohmann::json> {
public:
    // `consumed` is the number of bytes that the parser has read; its input iterator updates it.
    TreeBuilder(std::string_view bytes, const size_t& consumed, ParsedFile&, Value& root);

    bool null() override;
    bool boolean(bool) override;
    bool number_integer(number_integer_t) override;
    bool number_unsigned(number_unsigned_t) override;
    bool number_float(number_float_t, const string_t&) override;
    bool string(string_t&) override;
    bool binary(binary_t&) override;
    bool start_object(size_t) override;
    bool key(string_t&) override;
    bool end_object() override;
    bool start_array(size_t) override;
    bool end_array() override;
    bool parse_error(size_t position, const std::string& lastToken, const nlohmann::detail::exception&) override;

private:
    struct Frame {
        Value value;
        std::string pointer;
        std::set<std::string> keys;
        std::string key;
        // The value of a duplicate key is parsed and discarded.
        bool isKeyDuplicate = false;
    };

    bool addScalar(decltype(Value::data));
    bool openContainer(decltype(Value::data));
    bool closeContainer();
    bool checkValueLimit();
    void addToParent(Value);
    std::string nextChildPointer() const;
    size_t tokenStart() const;
    void markTokenEnd() { m_previousTokenEnd = m_consumed; }

    std::string_view m_bytes;
    const size_t& m_consumed;
    ParsedFile& m_file;
    Value& m_root;
    std::vector<Frame> m_frames;
    size_t m_previousTokenEnd = 0;
    size_t m_valueCount = 0;
};

} // namespace Lavenderloft::Json
