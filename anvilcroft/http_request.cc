#include "anvilcroft/http_request.h"

#include <cctype>
#include <utility>

namespace anvilcroft {
namespace {

HttpRequest::Query ParseQuery(const std::string& text) {
  HttpRequest::Query query;
  std::size_t begin = 0;
  while (begin <= text.size() && !text.empty()) {
    const std::size_t end = std::min(text.find('&', begin), text.size());
    const std::string pair = text.substr(begin, end - begin);
    const std::size_t equals = pair.find('=');
    const std::string name = PercentDecode(pair.substr(0, equals), true);
    if (!name.empty()) {
      query.emplace(
          name, equals == std::string::npos ? "" : PercentDecode(pair.substr(equals + 1), true));
    }
    begin = end + 1;
  }
  return query;
}

}  // namespace

std::string HttpRequest::QueryValue(const std::string& name) const {
  const auto found = this->query.find(name);
  return found == this->query.end() ? "" : found->second;
}

HttpRequest::Builder& HttpRequest::Builder::SetMethod(std::string method) {
  this->request.method = std::move(method);
  return *this;
}

HttpRequest::Builder& HttpRequest::Builder::SetTarget(const std::string& target) {
  this->request.target = target;
  const std::size_t mark = target.find('?');
  this->request.path = PercentDecode(target.substr(0, mark), false);
  this->request.query = mark == std::string::npos ? Query() : ParseQuery(target.substr(mark + 1));
  return *this;
}

HttpRequest::Builder& HttpRequest::Builder::SetHeaders(HttpHeaders headers) {
  this->request.headers = std::move(headers);
  return *this;
}

HttpRequest::Builder& HttpRequest::Builder::SetHeader(std::string name, std::string value) {
  this->request.headers = this->request.headers.With(std::move(name), std::move(value));
  return *this;
}

HttpRequest::Builder& HttpRequest::Builder::SetBody(SharedBody body) {
  this->request.body = std::move(body);
  return *this;
}

HttpRequest::Builder& HttpRequest::Builder::SetJson(std::string body) {
  this->SetHeader("Content-Type", "application/json");
  return this->SetBody(std::move(body));
}

std::string PercentDecode(const std::string& text, bool plus_is_space) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto hex = [&](std::size_t at) {
      return at < text.size() && std::isxdigit(static_cast<unsigned char>(text[at])) != 0;
    };
    if (text[i] == '%' && hex(i + 1) && hex(i + 2)) {
      decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else if (text[i] == '+' && plus_is_space) {
      decoded += ' ';
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::string PercentEncode(const std::string& text) {
  constexpr char kHexDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const unsigned char c : text) {
    if (std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_' || c == '~') {
      encoded += static_cast<char>(c);
    } else {
      encoded += '%';
      encoded += kHexDigits[c >> 4];
      encoded += kHexDigits[c & 0xf];
    }
  }
  return encoded;
}

}  // namespace anvilcroft
