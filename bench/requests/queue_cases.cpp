#include <bench/record.hpp>
#include <bench/requests/cases.hpp>
#include <bench/requests/queue_world.hpp>

#include <algorithm>
#include <numeric>

namespace medlarmoor::bench {

namespace {

constexpr double WaitShare = 1.0 / 3.0;
constexpr double LeastGoodput = 0.9;
constexpr double RecoverySeconds = 5;
constexpr double OverloadFrom = 10;
constexpr double OverloadUntil = 20;
constexpr double Slots = 30;

struct Named {
  const char *Name_;
  Balancing Balancing_;
};
constexpr std::array All{
    Named{"random", Balancing::Random},
    Named{"two choices, reported", Balancing::TwoChoicesReported},
    Named{"two choices, own view", Balancing::TwoChoicesOwn},
    Named{"one queue", Balancing::OneQueue},
    Named{"medlarmoor", Balancing::Medlarmoor}};

QueuePlan planFor(const Options &Asked, Balancing Of) {
  QueuePlan Out;
  Out.Seed_ = Asked.Seed_;
  Out.Balancing_ = Of;
  if (Asked.Seconds_ > 0)
    Out.Seconds_ = Asked.Seconds_;
  return Out;
}

nlohmann::json figuresOf(const QueueFigures &Got) {
  return {{"in_process", true},
          {"offered", Got.Offered_},
          {"done_in_time", Got.Done_},
          {"not_run", Got.NotRun_},
          {"unknown_share", double(Got.Unknown_) / double(Got.Offered_)},
          {"double_runs", Got.DoubleRuns_},
          {"false_not_run", Got.FalseNotRun_},
          {"over_slots", Got.OverSlots_},
          {"mean_wait", Got.MeanWait_},
          {"p99_wait", Got.P99Wait_},
          {"imbalance", Got.Imbalance_}};
}

Record recordOf(const Options &Asked, const std::string &Case,
                const std::string &Policy, const QueueFigures &Got) {
  Record Out{"requests", Case, Policy, Asked.Seed_, figuresOf(Got), {}, true};
  Out.Bound_ = nlohmann::json::object();
  return Out;
}

/// Adds the bounds that hold in every case and prints the record.
bool judge(Record &Out, const QueueFigures &Got, bool SlotsAreOwn = true) {
  Out.Bound_["double_runs"] = 0;
  Out.Bound_["false_not_run"] = 0;
  Out.Held_ &= Got.DoubleRuns_ == 0 && Got.FalseNotRun_ == 0;
  if (SlotsAreOwn) {
    Out.Bound_["over_slots"] = 0;
    Out.Held_ &= Got.OverSlots_ == 0;
  }
  print(Out);
  return Out.Held_;
}

/// Runs one plan under all policies; the last one is judged.
bool compare(const Options &Asked, const std::string &Case,
             const std::function<void(QueuePlan &)> &Change,
             bool WaitBound = false) {
  double OwnView = 0;
  bool Held = true;
  for (const Named &Each : All) {
    QueuePlan Plan = planFor(Asked, Each.Balancing_);
    Change(Plan);
    const QueueFigures Got = QueueWorld(Plan).run();
    Record Out = recordOf(Asked, Case, Each.Name_, Got);
    if (Each.Balancing_ == Balancing::TwoChoicesOwn)
      OwnView = Got.MeanWait_;
    if (Each.Balancing_ != Balancing::Medlarmoor) {
      print(Out);
      continue;
    }
    if (WaitBound) {
      Out.Bound_["mean_wait"] = WaitShare * OwnView;
      Out.Held_ = Got.MeanWait_ <= WaitShare * OwnView;
    }
    Held = judge(Out, Got);
  }
  return Held;
}

bool load(const Options &Asked, const char *Case, double Load, bool Bound) {
  return compare(
      Asked, Case,
      [Load](QueuePlan &Plan) { Plan.Load_ = [Load](double) { return Load; }; },
      Bound);
}

bool load60(const Options &Asked) { return load(Asked, "load_60", 0.6, false); }
bool load75(const Options &Asked) { return load(Asked, "load_75", 0.75, true); }
bool load90(const Options &Asked) { return load(Asked, "load_90", 0.9, false); }

bool slowServer(const Options &Asked) {
  return compare(Asked, "slow_server", [](QueuePlan &Plan) {
    Plan.Faults_ = [](auto &Upstreams, TimePoint) {
      Upstreams[0].Speed_ = 0.25;
    };
  });
}

bool lyingServer(const Options &Asked) {
  return compare(Asked, "lying_server", [](QueuePlan &Plan) {
    Plan.Faults_ = [](auto &Upstreams, TimePoint) {
      Upstreams[0].Lie_ = 0;
      Upstreams[1].Lie_ = 50;
    };
  });
}

bool coldStart(const Options &Asked) {
  return compare(Asked, "cold_start_of_three", [](QueuePlan &Plan) {
    Plan.JoinFrom_ = 12;
    Plan.JoinSecond_ = 5;
    Plan.Faults_ = [](auto &Upstreams, TimePoint Start) {
      for (std::size_t I = 12; I < 15; ++I)
        Upstreams[I].ColdUntil_ = Start + Seconds(9);
    };
  });
}

double goodput(const QueueFigures &Got, double ServiceSeconds) {
  double Done = 0;
  for (auto I = static_cast<std::size_t>(OverloadFrom) + 1;
       I < static_cast<std::size_t>(OverloadUntil); ++I)
    Done += Got.DoneBySecond_[I];
  const double Capacity = Slots / ServiceSeconds;
  return Done / (OverloadUntil - OverloadFrom - 1) / Capacity;
}

/// Seconds after the overload until the mean wait of a second is below Normal
/// for good.
double recovery(const QueueFigures &Got, double Normal) {
  const auto From = static_cast<std::size_t>(OverloadUntil);
  double Out = 0;
  for (std::size_t I = From; I < Got.WaitBySecond_.size() && I < 40; ++I)
    if (Got.WaitBySecond_[I] > Normal)
      Out = static_cast<double>(I + 1 - From);
  return Out;
}

bool overload(const Options &Asked, const char *Case, unsigned Calls) {
  bool Held = true;
  for (const Named &Each : All) {
    QueuePlan Plan = planFor(Asked, Each.Balancing_);
    Plan.Seconds_ = 40;
    Plan.Calls_ = Calls;
    Plan.Load_ = [](double At) {
      return At >= OverloadFrom && At < OverloadUntil ? 1.5 : 0.6;
    };
    const QueueFigures Got = QueueWorld(Plan).run();
    Record Out = recordOf(Asked, Case, Each.Name_, Got);
    const double Good = goodput(Got, 0.05);
    // A wait of one service time at load 0.6 is far above the normal one.
    const double Recovered = recovery(Got, 1.0);
    Out.Figures_["goodput_of_capacity"] = Good;
    Out.Figures_["recovery_seconds"] = Recovered;
    if (Each.Balancing_ != Balancing::Medlarmoor) {
      print(Out);
      continue;
    }
    Out.Bound_["goodput_of_capacity"] = LeastGoodput;
    Out.Bound_["recovery_seconds"] = RecoverySeconds;
    Out.Held_ = Good >= LeastGoodput && Recovered <= RecoverySeconds;
    Held = judge(Out, Got);
  }
  return Held;
}

bool overload150(const Options &Asked) {
  return overload(Asked, "overload_150", 1);
}
bool retryStorm(const Options &Asked) {
  return overload(Asked, "retry_storm", 4);
}

struct Variant {
  const char *Name_;
  upstream::PoolPolicy Policy_;
};

/// Measures each choice of policy, on and off, over one plan.
bool variants(const Options &Asked, const std::string &Case,
              const std::function<void(QueuePlan &)> &Change,
              bool SlotsAreOwn = true) {
  const std::array Each{
      Variant{"medlarmoor", {}},
      Variant{"no breaker", {upstream::NoBreaker{}, true, true, true}},
      Variant{"metric breaker", {upstream::MetricBreaker{}, true, true, true}},
      Variant{"half-open breaker",
              {upstream::HalfOpenBreaker{}, true, true, true}},
      Variant{"no speed", {upstream::PoolPolicy{}.Breaker_, false, true, true}},
      Variant{"no reports",
              {upstream::PoolPolicy{}.Breaker_, true, false, true}},
      Variant{"no ramp", {upstream::PoolPolicy{}.Breaker_, true, true, false}}};
  bool Held = true;
  for (const Variant &Of : Each) {
    QueuePlan Plan = planFor(Asked, Balancing::Medlarmoor);
    Plan.Pool_ = Of.Policy_;
    Change(Plan);
    const QueueFigures Got = QueueWorld(Plan).run();
    Record Out = recordOf(Asked, Case, Of.Name_, Got);
    Out.Figures_["attempts"] = Got.Attempts_;
    Held &= judge(Out, Got, SlotsAreOwn);
  }
  return Held;
}

bool policiesFailing(const Options &Asked) {
  return variants(Asked, "policies_failing_upstream", [](QueuePlan &Plan) {
    Plan.Faults_ = [](auto &Upstreams, TimePoint) {
      Upstreams[0].FailShare_ = 0.9;
    };
  });
}

bool policiesShedding(const Options &Asked) {
  return variants(Asked, "policies_shedding_upstreams", [](QueuePlan &Plan) {
    Plan.Faults_ = [](auto &Upstreams, TimePoint Start) {
      for (std::size_t I = 0; I < 4; ++I) {
        Upstreams[I].ShedFrom_ = Start + Seconds(10);
        Upstreams[I].ShedUntil_ = Start + Seconds(20);
      }
    };
  });
}

bool policiesSlow(const Options &Asked) {
  return variants(Asked, "policies_slow_server", [](QueuePlan &Plan) {
    Plan.Faults_ = [](auto &Upstreams, TimePoint) {
      Upstreams[0].Speed_ = 0.25;
    };
  });
}

bool policiesCold(const Options &Asked) {
  return variants(Asked, "policies_cold_start", [](QueuePlan &Plan) {
    Plan.JoinFrom_ = 12;
    Plan.JoinSecond_ = 5;
    Plan.Faults_ = [](auto &Upstreams, TimePoint Start) {
      for (std::size_t I = 12; I < 15; ++I)
        Upstreams[I].ColdUntil_ = Start + Seconds(9);
    };
  });
}

bool policiesLying(const Options &Asked) {
  return variants(Asked, "policies_lying_server", [](QueuePlan &Plan) {
    Plan.Faults_ = [](auto &Upstreams, TimePoint) {
      Upstreams[0].Lie_ = 0;
      Upstreams[1].Lie_ = 50;
    };
  });
}

bool policiesShared(const Options &Asked) {
  return variants(
      Asked, "policies_shared_upstreams",
      [](QueuePlan &Plan) {
        Plan.Load_ = [](double) { return 0.55; };
        Plan.OthersLoad_ = 0.6;
      },
      false);
}

} // namespace

std::vector<RequestCase> queueCases() {
  return {{"load_60", load60},
          {"load_75", load75},
          {"load_90", load90},
          {"slow_server", slowServer},
          {"lying_server", lyingServer},
          {"cold_start_of_three", coldStart},
          {"overload_150", overload150},
          {"retry_storm", retryStorm},
          {"policies_failing_upstream", policiesFailing},
          {"policies_shedding_upstreams", policiesShedding},
          {"policies_slow_server", policiesSlow},
          {"policies_cold_start", policiesCold},
          {"policies_lying_server", policiesLying},
          {"policies_shared_upstreams", policiesShared}};
}

std::vector<RequestCase> requestCases() {
  std::vector<RequestCase> Out = queueCases();
  for (const RequestCase &Each : processCases())
    Out.push_back(Each);
  return Out;
}

} // namespace medlarmoor::bench
