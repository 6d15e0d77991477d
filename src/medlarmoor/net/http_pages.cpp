#include <medlarmoor/net/http_pages.hpp>

#include <utility>

namespace medlarmoor::net {

namespace {

HttpResponse page(const char *Type, std::string Text, unsigned Status) {
  HttpResponse Out;
  Out.Status_ = Status;
  Out.Headers_.add("Content-Type", Type);
  Out.Body_ = std::move(Text);
  return Out;
}

} // namespace

HttpResponse textPage(std::string Text, unsigned Status) {
  return page("text/plain; version=0.0.4", std::move(Text), Status);
}

HttpResponse jsonPage(std::string Text, unsigned Status) {
  return page("application/json", std::move(Text), Status);
}

} // namespace medlarmoor::net
