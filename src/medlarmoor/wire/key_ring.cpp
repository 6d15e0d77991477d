#include <medlarmoor/wire/key_ring.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>

namespace medlarmoor::wire {

KeyRing::KeyRing(std::vector<config::SharedKey> Keys)
    : Keys_(std::move(Keys)) {}

std::optional<std::uint8_t> KeyRing::signingId() const noexcept {
  if (Keys_.empty())
    return std::nullopt;
  return Keys_.front().Id_;
}

std::optional<Mac> KeyRing::mac(std::uint8_t Id,
                                std::span<const std::byte> Bytes) const {
  const auto Key =
      std::find_if(Keys_.begin(), Keys_.end(),
                   [Id](const auto &Candidate) { return Candidate.Id_ == Id; });
  if (Key == Keys_.end())
    return std::nullopt;
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  if (!HMAC(EVP_sha256(), Key->Secret_.data(),
            static_cast<int>(Key->Secret_.size()),
            reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
            Digest.data(), &Size))
    return std::nullopt;
  Mac Truncated;
  std::transform(Digest.begin(), Digest.begin() + MacBytes, Truncated.begin(),
                 [](unsigned char Byte) { return std::byte{Byte}; });
  return Truncated;
}

bool KeyRing::verify(std::uint8_t Id, std::span<const std::byte> Bytes,
                     std::span<const std::byte> Claimed) const {
  const std::optional<Mac> Expected = mac(Id, Bytes);
  return Expected && Claimed.size() == MacBytes &&
         CRYPTO_memcmp(Expected->data(), Claimed.data(), MacBytes) == 0;
}

} // namespace medlarmoor::wire
