#pragma once

#include "Json/ParsedFile.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace Lavenderloft::Json {

// Receives the events of nlohmann-json's SAX parser and builds the tree of values. It reports duplicate
// keys and stops at the limits of nesting and of the number of values.
class TreeBuilder final : public nlohmann::json_sax<nlohmann::json> {
public:
    // `consumed` is the number of bytes that the parser has read, kept up to date by its input iterator.
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
        // The value of a duplicate key is parsed and dropped.
        bool isKeyDuplicate = false;
    };

    bool scalar(decltype(Value::data));
    bool open(decltype(Value::data));
    bool close();
    bool countValue();
    void attach(Value);
    std::string nextPointer() const;
    size_t startOfToken() const;
    void endToken() { m_endOfPreviousToken = m_consumed; }

    std::string_view m_bytes;
    const size_t& m_consumed;
    ParsedFile& m_file;
    Value& m_root;
    std::vector<Frame> m_frames;
    size_t m_endOfPreviousToken = 0;
    size_t m_valueCount = 0;
};

} // namespace Lavenderloft::Json
