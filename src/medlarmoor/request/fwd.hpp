#ifndef MEDLARMOOR_REQUEST_FWD_HPP
#define MEDLARMOOR_REQUEST_FWD_HPP

namespace medlarmoor::request {

enum class KeyState : unsigned char;
enum class MethodClass : unsigned char;
enum class Outcome : unsigned char;
struct DispatcherLimits;
struct KeptAnswer;
struct KeyParts;
struct Record;
struct RecordReplica;
struct Submission;
struct Verdict;
class Dispatcher;
class Ledger;
class Quorum;
class RequestThread;
class SubmissionReader;
class DispatcherRole;

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_FWD_HPP
