#include <openssl/evp.h>

#include <array>
#include <memory>

#include "coordination/coordination.h"

namespace gooseberrygap::coordination {

std::string DigestOf(absl::string_view service,
                     const state::HttpRequest& request) {
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
      EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  for (const absl::string_view part :
       {service, absl::string_view(request.method_),
        absl::string_view(request.path_), request.body_.view()}) {
    // Each part is preceded by its length, so that different lists of parts
    // cannot give the same bytes.
    const uint64_t size = part.size();
    EVP_DigestUpdate(context.get(), &size, sizeof(size));
    EVP_DigestUpdate(context.get(), part.data(), part.size());
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
  unsigned int length = 0;
  EVP_DigestFinal_ex(context.get(), digest.data(), &length);
  return std::string(digest.begin(), digest.begin() + length);
}

}  // namespace gooseberrygap::coordination
