#include <medlarmoor/placement/answer_size.hpp>

#include <catch2/catch.hpp>

#include <random>

using namespace medlarmoor::placement;

TEST_CASE("nothing is judged before the usual size is known") {
  AnswerSize Each;
  for (int I = 0; I < 20; ++I)
    Each.add(800);
  CHECK_FALSE(Each.unusuallyShort(1));
}

TEST_CASE("an error page stands out among answers of one size") {
  AnswerSize Each;
  for (int I = 0; I < 200; ++I)
    Each.add(790 + I % 5);
  CHECK(Each.unusuallyShort(170));
  CHECK_FALSE(Each.unusuallyShort(500));
  CHECK_FALSE(Each.unusuallyShort(5000));
}

TEST_CASE("answers that vary widely are rarely taken for errors") {
  AnswerSize Each;
  std::mt19937_64 Source(3);
  std::lognormal_distribution<double> Bytes(7.8, 0.6);
  int Short = 0;
  constexpr int Answers = 20'000;
  for (int I = 0; I < Answers; ++I) {
    const auto Size = static_cast<std::uint32_t>(Bytes(Source)) + 1;
    Short += Each.unusuallyShort(Size) ? 1 : 0;
    Each.add(Size);
  }
  CHECK(Short < Answers / 1000);
  CHECK(Each.unusuallyShort(100));
}

TEST_CASE("a fifth of errors does not become usual") {
  AnswerSize Each;
  for (int I = 0; I < 5000; ++I)
    Each.add(I % 5 == 0 ? 170 : 2000);
  CHECK(Each.unusuallyShort(170));
}

TEST_CASE("a new release with short answers becomes usual") {
  AnswerSize Each;
  for (int I = 0; I < 500; ++I)
    Each.add(4000);
  CHECK(Each.unusuallyShort(300));
  for (int I = 0; I < 500; ++I)
    Each.add(300);
  CHECK_FALSE(Each.unusuallyShort(300));
}
