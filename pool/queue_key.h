#ifndef POOL_QUEUE_KEY_H_
#define POOL_QUEUE_KEY_H_

// What identifies a queue.
//
// A queue is a route of the configuration: the jobs that reach one host under
// one path prefix, which no two queues of a configuration share. Its name is
// the operator's alone: it may be missing, be that of other queues as well, and
// change from one version of the configuration to the next. Whatever is kept
// for a queue is therefore kept by its key: run times, crashes, its share of
// the pool, pending jobs, and the `queue` of logs and metrics.

#include <string>

#include "proto/pool.pb.h"

namespace goldcrest {

// Returns the key of the queue, "HOST:PREFIX", with the host in lower case: it
// names the same queue however a version of the configuration writes it. The
// prefix of a queue that requests reach begins with a slash, so that the keys
// of two such queues differ.
std::string QueueKey(const wire::Queue& queue);

// Returns what identifies a job here: callers choose its id, and callers of
// different queues may choose the same one. Workers know a task by the id
// alone, so that two such jobs must not run at the same time.
std::string JobKeyInQueue(const std::string& queue_key,
                          const std::string& job_id);

// Returns the queue with this key, or null if the configuration has none.
const wire::Queue* FindQueueByKey(const wire::Routing& routing,
                                  const std::string& key);

}  // namespace goldcrest

#endif  // POOL_QUEUE_KEY_H_
