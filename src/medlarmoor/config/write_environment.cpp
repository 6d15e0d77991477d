#include <medlarmoor/config/read_environment.hpp>

#include <charconv>
#include <sstream>

namespace medlarmoor::config {

namespace {

/// Returns the shortest text that parses back to the same number, with a
/// decimal point or exponent so that TOML reads a float.
std::string number(double Value) {
  char Buffer[32];
  const auto End = std::to_chars(Buffer, Buffer + sizeof(Buffer), Value).ptr;
  std::string Text(Buffer, End);
  if (Text.find_first_of(".e") == std::string::npos)
    Text += ".0";
  return Text;
}

void writePolicy(std::ostream &Stream, const ServicePolicy &Policy) {
  Stream << "\n[service.policy]\n"
         << "epsilon = " << number(Policy.Epsilon_) << "\n"
         << "longest_deadline_ms = " << Policy.LongestDeadline_.count() << "\n"
         << "body_bytes = " << Policy.MaxBodyBytes_ << "\n"
         << "queue_per_slot = " << number(Policy.QueuePerSlot_) << "\n"
         << "retry_budget = " << number(Policy.RetryBudget_) << "\n";
}

void writeUpstream(std::ostream &Stream, const Upstream &Source) {
  Stream << "\n[[service.upstream]]\n"
         << "name = \"" << Source.Name_.value() << "\"\n"
         << "domain = \"" << Source.Domain_.value() << "\"\n"
         << "packets = \"" << Source.Packets_.text() << "\"\n"
         << "requests = \"" << Source.Requests_.text() << "\"\n"
         << "slots = " << Source.Slots_ << "\n"
         << "connections = " << Source.Connections_ << "\n"
         << "weight = " << number(Source.Weight_) << "\n"
         << "drain = " << (Source.Drain_ ? "true" : "false") << "\n";
}

void writeService(std::ostream &Stream, const Service &Source) {
  Stream << "\n[[service]]\nname = \"" << Source.Name_.value()
         << "\"\naddresses = [";
  const char *Separator = "";
  for (const Endpoint &Address : Source.Addresses_) {
    Stream << Separator << '"' << Address.text() << '"';
    Separator = ", ";
  }
  Stream << "]\n";
  writePolicy(Stream, Source.Policy_);
  for (const Upstream &Listed : Source.Upstreams_)
    writeUpstream(Stream, Listed);
}

} // namespace

std::string writeEnvironment(const Environment &Document) {
  std::ostringstream Stream;
  Stream << "name = \"" << Document.Name_ << "\"\n";
  for (const FailureDomain &Domain : Document.Domains_)
    Stream << "\n[[domain]]\nname = \"" << Domain.Name_.value()
           << "\"\nregion = \"" << Domain.Region_.value() << "\"\n";
  for (const Service &Listed : Document.Services_)
    writeService(Stream, Listed);
  return Stream.str();
}

} // namespace medlarmoor::config
