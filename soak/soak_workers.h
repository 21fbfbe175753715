#ifndef SOAK_SOAK_WORKERS_H_
#define SOAK_SOAK_WORKERS_H_

// The backend servers (workers) of the soak: HTTP servers around the worker
// model that the simulated tests use.
//
// All workers run on the loop's thread. A worker reports to one control daemon
// until a report fails, and then to another one.

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "edge/http_client.h"
#include "edge/http_server.h"
#include "edge/socket_loop.h"
#include "pool/testing/fake_worker.h"
#include "soak/soak_wire.h"

namespace goldcrest {

// Executes an order on a worker when the attempts of all workers that have
// ended by `now`, by their leases for instance, have been ended. The process of
// the soak may have been delayed since it last did so.
WorkerAnswer ExecuteOrderAt(FakeWorkers& workers,
                            FakeWorker& worker,
                            const WorkerOrder& order,
                            Micros now);

// The id, failure domain and addresses of a worker.
struct SoakWorkerConfig {
  std::string id;
  std::string domain;
  std::string listen_address;  // "ip:port" where it listens
  std::string
      advertised_address;  // "ip:port" in its reports: that of its relay
};

struct SoakWorkersOptions {
  std::string service;
  std::vector<std::string> control_addresses;  // where workers report
  int64_t cpu_millis = 16'000;  // of each worker, in thousandths of a core
  Micros report_period = kSecond;
  Micros crash_duration = kSecond;  // from a crash to the restart
  uint64_t seed = 1;
};

// All workers of one soak. `loop` and `wire` must outlive it.
class SoakWorkers {
 public:
  // Maps the address to which a control daemon directs reports to the address
  // of its relay.
  using AddressMap = std::function<std::string(const std::string&)>;

  SoakWorkers(SocketLoop& loop,
              const SoakWire& wire,
              SoakWorkersOptions options,
              const std::vector<SoakWorkerConfig>& places,
              AddressMap address_map);

  // Ends finished attempts, answers waiting orders, sends the reports that are
  // due and restarts crashed workers.
  void Advance(Micros now);

  // Closes a worker's connections and discards its state. It restarts later
  // with a new id.
  void Crash(size_t worker, Micros now);

  // Whether the capacities of the workers shrink and grow from now on; if not,
  // they return to their full size.
  void ChangeCapacities(bool changing);

  size_t size() const { return endpoints_.size(); }
  FakeWorkers& model() { return model_; }

 private:
  // A lease renewal whose answer waits for an attempt to end.
  struct WaitingOrder {
    RequestToken token = 0;
    WorkerOrder order;
    Micros answer_at = 0;  // is answered then at the latest
  };
  // The server of a worker, its waiting orders and the state of its reports.
  struct WorkerEndpoint {
    SoakWorkerConfig config;
    std::unique_ptr<HttpServer> server;  // null while crashed
    std::vector<WaitingOrder> waiting_orders;
    int incarnation_count = 0;  // number of starts; part of the worker's id
    Micros restart_at = 0;      // when a crashed worker restarts; 0: is running
    bool report_in_flight = false;  // a report is in flight
    size_t control_index = 0;       // index of the control daemon for reports
  };

  // Starts a worker with a new id and no state.
  void StartWorker(size_t worker, Micros now);
  void OnRequest(size_t worker, RequestToken token, const HttpRequest& request);
  // Answers the waiting orders for which there is something to report or whose
  // time has passed.
  void AnswerWaitingOrders(size_t worker, Micros now);
  void SendReport(size_t worker);
  // Changes the capacity of one worker if that is due.
  void ChangeNextCapacity(Micros now);

  SocketLoop& loop_;
  const SoakWire& wire_;
  SoakWorkersOptions options_;
  AddressMap address_map_;
  FakeWorkers model_;
  std::vector<WorkerEndpoint> endpoints_;
  HttpClient client_;
  std::mt19937_64 random_;
  bool changing_capacities_ = false;
  Micros next_capacity_change_ = 0;
  Micros close_stale_at_ = 0;  // next call of HttpClient::CloseStale()
};

}  // namespace goldcrest

#endif  // SOAK_SOAK_WORKERS_H_
