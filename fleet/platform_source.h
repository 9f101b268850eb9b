#ifndef FLEET_PLATFORM_SOURCE_H_
#define FLEET_PLATFORM_SOURCE_H_

#include <optional>

#include "contract/document.h"
#include "core/error.h"
#include "core/time.h"

namespace damasktack {

// Reads and watches the documents of the configuration service of the platform;
// never writes.
class PlatformSource {
 public:
  virtual ~PlatformSource() = default;

  // Reads the current value.
  virtual leaf::result<Document> Read(DocumentName name, Duration timeout) = 0;
  // Waits up to `wait` for a revision above `after`; returns null if there was
  // none.
  virtual leaf::result<std::optional<Document>> Watch(DocumentName name,
                                                      Revision after,
                                                      Duration wait) = 0;
  // Makes pending calls fail at once.
  virtual void Interrupt() = 0;
};

}  // namespace damasktack

#endif  // FLEET_PLATFORM_SOURCE_H_
