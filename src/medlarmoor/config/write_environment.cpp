#include <medlarmoor/config/read_environment.hpp>

#include <charconv>
#include <sstream>

namespace medlarmoor::config {

namespace {

/// The shortest text that reads back to the same number, always as a float.
std::string number(double Value) {
  char Buffer[32];
  const auto End = std::to_chars(Buffer, Buffer + sizeof(Buffer), Value).ptr;
  std::string Out(Buffer, End);
  if (Out.find_first_of(".e") == std::string::npos)
    Out += ".0";
  return Out;
}

void writePolicy(std::ostream &Out, const ServicePolicy &Policy) {
  Out << "\n[service.policy]\n"
      << "epsilon = " << number(Policy.Epsilon_) << "\n"
      << "longest_deadline_ms = " << Policy.LongestDeadline_.count() << "\n"
      << "body_bytes = " << Policy.BodyBytes_ << "\n"
      << "queue_per_slot = " << number(Policy.QueuePerSlot_) << "\n"
      << "retry_budget = " << number(Policy.RetryBudget_) << "\n";
}

void writeUpstream(std::ostream &Out, const Upstream &Each) {
  Out << "\n[[service.upstream]]\n"
      << "name = \"" << Each.Name_.value() << "\"\n"
      << "domain = \"" << Each.Domain_.value() << "\"\n"
      << "packets = \"" << Each.Packets_.text() << "\"\n"
      << "requests = \"" << Each.Requests_.text() << "\"\n"
      << "slots = " << Each.Slots_ << "\n"
      << "connections = " << Each.Connections_ << "\n"
      << "weight = " << number(Each.Weight_) << "\n"
      << "drain = " << (Each.Drain_ ? "true" : "false") << "\n";
}

void writeService(std::ostream &Out, const Service &Each) {
  Out << "\n[[service]]\nname = \"" << Each.Name_.value()
      << "\"\naddresses = [";
  const char *Between = "";
  for (const Endpoint &Address : Each.Addresses_) {
    Out << Between << '"' << Address.text() << '"';
    Between = ", ";
  }
  Out << "]\n";
  writePolicy(Out, Each.Policy_);
  for (const Upstream &Behind : Each.Upstreams_)
    writeUpstream(Out, Behind);
}

} // namespace

std::string writeEnvironment(const Environment &Each) {
  std::ostringstream Out;
  Out << "name = \"" << Each.Name_ << "\"\n";
  for (const FailureDomain &Domain : Each.Domains_)
    Out << "\n[[domain]]\nname = \"" << Domain.Name_.value()
        << "\"\nregion = \"" << Domain.Region_.value() << "\"\n";
  for (const Service &Service : Each.Services_)
    writeService(Out, Service);
  return Out.str();
}

} // namespace medlarmoor::config
