#ifndef FLEET_PLATFORM_SOURCE_H_
#define FLEET_PLATFORM_SOURCE_H_

#include <optional>

#include "contract/document.h"
#include "core/error.h"
#include "core/time.h"

namespace damasktack {

// The platform's configuration service: read and watch, never write.
class PlatformSource {
 public:
  virtual ~PlatformSource() = default;

  // The value as it stands.
  virtual leaf::result<Document> Read(DocumentName name, Duration timeout) = 0;
  // Waits up to `wait` for a revision above `after`; null where none came.
  virtual leaf::result<std::optional<Document>> Watch(DocumentName name,
                                                      Revision after,
                                                      Duration wait) = 0;
  // Makes calls that are waiting now fail at once.
  virtual void Interrupt() = 0;
};

}  // namespace damasktack

#endif  // FLEET_PLATFORM_SOURCE_H_
