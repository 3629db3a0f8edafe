// Splits a JSON text into the elements or members of its outermost value.
#pragma once

#include <algorithm>
#include <optional>
#include <string_view>

namespace tray {

/// Reads the parts of a JSON text without parsing them. Works without recursion, so that the depth
/// of a part does not matter.
class JsonSplitter
{
public:
    explicit JsonSplitter(std::string_view text) : rest(text) {}

    /// Skips spaces, then the character if it is next; returns whether it was.
    bool skip(char wanted)
    {
        this->skipSpaces();
        if (this->rest.empty() || this->rest.front() != wanted)
            return false;
        this->rest.remove_prefix(1);
        return true;
    }

    /// Takes the text up to the comma or bracket that ends a value, or to the colon after a name;
    /// nullopt if brackets or quotes do not match.
    std::optional<std::string_view> takePart(char end)
    {
        int depth = 0;
        bool isQuoted = false;
        for (size_t i = 0; i < this->rest.size(); ++i) {
            const char character = this->rest[i];
            if (isQuoted) {
                if (character == '\\')
                    ++i;
                else if (character == '"')
                    isQuoted = false;
                continue;
            }
            const bool isClosing = character == ']' || character == '}';
            if (depth == 0 && (character == end || isClosing)) {
                const auto part = this->rest.substr(0, i);
                this->rest.remove_prefix(i);
                return part;
            }
            if (character == '"')
                isQuoted = true;
            else if (character == '[' || character == '{')
                ++depth;
            else if (isClosing)
                --depth;
        }
        return std::nullopt;
    }

    bool isAtEnd()
    {
        this->skipSpaces();
        return this->rest.empty();
    }

private:
    void skipSpaces()
    {
        const auto end = this->rest.find_first_not_of(" \t\r\n");
        this->rest.remove_prefix(std::min(end, this->rest.size()));
    }

    std::string_view rest;
};

} // namespace tray
