// Formats the output of trayctl as tables or JSON.
#pragma once

#include <google/protobuf/message.h>
#include <string>
#include <vector>

namespace tray {

/// Table of text cells with a header row. Each column is as wide as its longest cell.
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> header);

    void add(std::vector<std::string> row);
    /// Returns the table as text, with the rows sorted by their first cell.
    std::string text() const;

private:
    std::vector<std::vector<std::string>> rows;
};

/// JSON array of messages, with one message per line.
class JsonList
{
public:
    void add(const google::protobuf::Message &message);
    std::string text() const;

private:
    std::vector<std::string> items;
};

/// Returns a message as JSON with the field names of the schema.
std::string toJson(const google::protobuf::Message &message);

} // namespace tray
