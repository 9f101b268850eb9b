#ifndef CORE_HEAP_H_
#define CORE_HEAP_H_

#include <cstddef>

namespace damasktack {

// Makes the allocator return large blocks to the system as soon as they are
// freed, instead of keeping them for later ones. Must be called before the
// process starts threads.
void ReturnLargeBlocksWhenFreed();

// Returns the free memory of the heap to the system. Takes longer the more
// there is.
void ReturnFreeMemory();

// Decides when free memory is worth returning: after a large part of what the
// process held has been freed.
class HeapTrimSchedule {
 public:
  // `held` is the number of bytes held now, and `peak` the largest number since
  // the last call.
  bool ShouldTrim(std::size_t held, std::size_t peak);

 private:
  // Largest number since the last trim.
  std::size_t peak_ = 0;
};

}  // namespace damasktack

#endif  // CORE_HEAP_H_
