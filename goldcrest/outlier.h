#ifndef GOLDCREST_OUTLIER_H_
#define GOLDCREST_OUTLIER_H_

// Workers that fail what they start.
//
// A worker that fails several starts in a row is ejected for a time that
// doubles with each ejection, and then gets one repeatable task at a time
// until one succeeds. At most half of the workers are ejected at once: when
// everything fails, the fault is not the worker's.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Records how a start on the worker `key` ended.
void NoteWorkerResult(Blackboard& bb,
                      const std::string& key,
                      bool failed,
                      Now now,
                      Actions& actions);

// Lets workers whose ejection is over back in, on probation.
void EndEjections(Blackboard& bb, Now now);

}  // namespace goldcrest

#endif  // GOLDCREST_OUTLIER_H_
