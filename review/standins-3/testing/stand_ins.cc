#include "stand_ins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iomanip>
#include <random>
#include <sstream>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace review {
namespace {

constexpr int kMeshPort = 7720;
constexpr int kControlPort = 8166;
constexpr int kFrontPort = 8161;
constexpr int kReadinessPort = 8167;
constexpr int64_t kHoldMaxMs = 1000;
constexpr int64_t kStopMs = 30;
constexpr int64_t kAckTimeoutMs = 1000;

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool WaitFor(int socket, short events, int64_t until) {
  pollfd waiting = {socket, events, 0};
  const int64_t left = until - NowMs();
  return left > 0 && poll(&waiting, 1, static_cast<int>(left)) == 1;
}

// Reads a message with a Content-Length. Returns false if the connection ends
// or `until` passes before it is complete.
bool ReadMessage(int socket,
                 int64_t until,
                 std::string& buffer,
                 std::string& head,
                 std::string& body) {
  const auto read_more = [&] {
    char bytes[16384];
    if (!WaitFor(socket, POLLIN, until)) {
      return false;
    }
    const ssize_t count = recv(socket, bytes, sizeof bytes, 0);
    if (count <= 0) {
      return false;
    }
    buffer.append(bytes, static_cast<size_t>(count));
    return true;
  };
  size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!read_more()) {
      return false;
    }
  }
  head = buffer.substr(0, end + 2);
  size_t length = 0;
  std::string lower = head;
  std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
  const size_t field = lower.find("content-length:");
  if (field != std::string::npos) {
    length = std::stoul(lower.substr(field + 15));
  }
  while (buffer.size() < end + 4 + length) {
    if (!read_more()) {
      return false;
    }
  }
  body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  return true;
}

bool SendAll(int socket, const std::string& bytes, int64_t until) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count > 0) {
      sent += static_cast<size_t>(count);
    } else if (errno != EAGAIN || !WaitFor(socket, POLLOUT, until)) {
      return false;
    }
  }
  return true;
}

Poco::JSON::Object::Ptr ParseObject(const std::string& text) {
  try {
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
  } catch (const std::exception&) {
    return new Poco::JSON::Object();
  }
}

std::string ToText(const Poco::JSON::Object& object) {
  std::ostringstream text;
  object.stringify(text);
  return text.str();
}

int64_t IntegerOf(const Poco::JSON::Object& object, const std::string& name) {
  return object.has(name) ? object.get(name).convert<int64_t>() : 0;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Fills a template of the deploy file from plain names.
std::string FillTemplate(std::string text,
                         const std::map<std::string, std::string>& values) {
  const auto value_of = [&](const std::string& name) {
    const auto found = values.find(name);
    return found == values.end() ? std::string() : found->second;
  };
  for (const char kind : {'#', '^'}) {
    const std::string open = std::string("{{") + kind;
    size_t begin = 0;
    while ((begin = text.find(open)) != std::string::npos) {
      const size_t name_end = text.find("}}", begin);
      const std::string name = text.substr(begin + 3, name_end - begin - 3);
      const std::string close = "{{/" + name + "}}";
      const size_t end = text.find(close, name_end);
      const bool present = !value_of(name).empty() && value_of(name) != "false";
      const std::string inner = text.substr(name_end + 2, end - name_end - 2);
      text.replace(begin, end + close.size() - begin,
                   present == (kind == '#') ? inner : "");
    }
  }
  size_t begin = 0;
  while ((begin = text.find("{{")) != std::string::npos) {
    const size_t end = text.find("}}", begin);
    text.replace(begin, end + 2 - begin,
                 value_of(text.substr(begin + 2, end - begin - 2)));
  }
  return text;
}

bool IsFree(const std::string& ip, int port) {
  const int probe = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = AddressOf(ip, port);
  const bool free = bind(probe, reinterpret_cast<const sockaddr*>(&address),
                         sizeof address) == 0;
  close(probe);
  return free;
}

}  // namespace

int64_t NowMs() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

int64_t WallMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string RandomHex(int count) {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard<std::mutex> lock(mutex);
  std::string text;
  for (int i = 0; i < count; ++i) {
    text += "0123456789abcdef"[random() % 16];
  }
  return text;
}

Record::Record(const std::string& path) : file_(path), began_ms_(NowMs()) {}

void Record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << std::fixed << std::setprecision(3)
        << static_cast<double>(NowMs() - began_ms_) / 1000 << ' ' << text
        << std::endl;
}

Reply Call(const std::string& address,
           const std::string& method,
           const std::string& path,
           const Headers& headers,
           const std::string& body,
           int64_t timeout_ms) {
  const int64_t until = NowMs() + timeout_ms;
  const size_t colon = address.find(':');
  const sockaddr_in to =
      AddressOf(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  std::string request = method + ' ' + path + " HTTP/1.1\r\n";
  bool has_host = false;
  for (const auto& [name, value] : headers) {
    request += name + ": " + value + "\r\n";
    has_host = has_host || name == "Host";
  }
  request += has_host ? "" : "Host: " + address + "\r\n";
  request += "Content-Type: application/json\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body;
  Reply reply;
  const int result =
      connect(connection, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  bool connected = result == 0;
  if (!connected && errno == EINPROGRESS &&
      WaitFor(connection, POLLOUT, until)) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(connection, SOL_SOCKET, SO_ERROR, &error, &size);
    connected = error == 0;
  }
  std::string buffer;
  std::string head;
  if (connected && SendAll(connection, request, until) &&
      ReadMessage(connection, until, buffer, head, reply.body)) {
    reply.status = std::stoi(head.substr(head.find(' ') + 1));
  }
  close(connection);
  return reply;
}

Server::Server(const std::string& ip, int port, Handler handler)
    : handler_(std::move(handler)) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = AddressOf(ip, port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0 ||
      listen(listener, 256) != 0) {
    close(listener);
    return;
  }
  listener_ = listener;
  threads_.emplace_back([this] { Accept(); });
}

Server::~Server() {
  Stop();
}

void Server::Stop() {
  if (stopped_.exchange(true)) {
    return;
  }
  if (listener_ >= 0) {
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const int socket : sockets_) {
      shutdown(socket, SHUT_RDWR);
    }
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void Server::Accept() {
  while (!stopped_) {
    const int socket =
        accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0) {
      if (stopped_ || errno != EINTR) {
        return;
      }
      continue;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::lock_guard<std::mutex> lock(mutex_);
    sockets_.insert(socket);
    threads_.emplace_back([this, socket] { Serve(socket); });
  }
}

void Server::Serve(int socket) {
  constexpr int64_t kIdleMs = 60'000;
  std::string buffer;
  std::string head;
  Request request;
  while (!stopped_ &&
         ReadMessage(socket, NowMs() + kIdleMs, buffer, head, request.body)) {
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    std::istringstream first(line);
    first >> request.method >> request.path;
    request.headers.clear();
    while (std::getline(lines, line) && line.size() > 1) {
      const size_t colon = line.find(':');
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      const size_t begin = line.find_first_not_of(' ', colon + 1);
      std::string value = begin == std::string::npos ? "" : line.substr(begin);
      while (!value.empty() && value.back() == '\r') {
        value.pop_back();
      }
      request.headers[name] = value;
    }
    const Reply reply = handler_(request);
    if (stopped_ || reply.status == 0) {
      break;
    }
    const std::string text =
        "HTTP/1.1 " + std::to_string(reply.status) +
        " X\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
    if (!SendAll(socket, text, NowMs() + kIdleMs)) {
      break;
    }
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  sockets_.erase(socket);
  close(socket);
}

Deployment::Deployment(std::string folder, std::vector<std::string> zones)
    : folder_(std::move(folder)) {
  std::random_device random;
  for (int attempt = 0; attempt < 50 && network_ == 0; ++attempt) {
    const int candidate = 20 + static_cast<int>(random() % 200);
    const std::string prefix = "127." + std::to_string(candidate);
    if (IsFree(prefix + ".0.1", kControlPort) &&
        IsFree(prefix + ".1.1", kFrontPort) && IsFree(prefix + ".2.1", 8080)) {
      network_ = candidate;
    }
  }
  const std::string prefix = "127." + std::to_string(network_);
  for (size_t i = 0; i < zones.size(); ++i) {
    const std::string host = std::to_string(i + 1);
    controls_.push_back(
        {"core-" + zones[i] + "-1", zones[i], prefix + ".0." + host, true, 0});
    entries_.push_back({"frontend-" + zones[i] + "-1", zones[i],
                        prefix + ".1." + host, false, 0});
  }
}

Deployment::~Deployment() {
  KillAll();
}

std::string Deployment::ControlAddress(const Daemon& daemon) const {
  return daemon.ip + ":" + std::to_string(kControlPort);
}

std::string Deployment::FrontAddress(const Daemon& daemon) const {
  return daemon.ip + ":" + std::to_string(kFrontPort);
}

std::string Deployment::WorkerIp(int index) const {
  return "127." + std::to_string(network_) + ".2." + std::to_string(index + 1);
}

bool Deployment::Start(Daemon& daemon, bool first_start) {
  const std::string role = daemon.control ? "control" : "entry";
  std::string seeds;
  for (const Daemon& control : controls_) {
    seeds += (seeds.empty() ? "" : ",") + ControlAddress(control);
  }
  const std::string disk = folder_ + "/" + daemon.name + "-disk";
  std::map<std::string, std::string> values = {
      {"node_name", daemon.name},
      {"zone", daemon.zone},
      {"ip", daemon.ip},
      {"internal_ports.0", std::to_string(kMeshPort)},
      {"seeds", seeds},
      {"bootstrap", first_start ? "true" : "false"},
      {"fault_tolerance.machines", "1"},
      {"limits.memory_mb", daemon.control ? "256" : "260"},
      {"limits.max_fds", daemon.control ? "4096" : "4100"},
      {"bounds.grace_s", "6"},
      {"bounds.hold_max_ms", std::to_string(kHoldMaxMs)},
  };
  if (daemon.control) {
    std::filesystem::create_directories(disk);
    values["data_dir"] = disk;
    values["listen.control"] = ControlAddress(daemon);
  } else {
    values["listen.front"] = FrontAddress(daemon);
    values["listen.readiness"] =
        daemon.ip + ":" + std::to_string(kReadinessPort);
  }
  const std::string settings = folder_ + "/" + daemon.name + ".flags";
  std::ofstream(settings) << FillTemplate(ReadFile("deploy/" + role + ".flags"),
                                          values);
  const std::string log = folder_ + "/" + daemon.name + ".log";
  const std::string variable = "GOLDCRESTPLANK_NODE_FILE=" + settings;
  const std::string program = "target/goldcrest_" + role;
  const char* arguments[] = {program.c_str(), nullptr};
  const char* environment[] = {variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  daemon.process = fork();
  if (daemon.process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execve(program.c_str(), const_cast<char* const*>(arguments),
           const_cast<char* const*>(environment));
    _exit(127);
  }
  close(output);
  return daemon.process > 0;
}

bool Deployment::StartAll() {
  bool ok = network_ != 0;
  for (std::vector<Daemon>* daemons : {&controls_, &entries_}) {
    for (Daemon& daemon : *daemons) {
      ok = ok && Start(daemon, true);
    }
  }
  return ok;
}

void Deployment::Signal(const Daemon& daemon, int signal) {
  if (daemon.process > 0) {
    kill(daemon.process, signal);
  }
}

bool Deployment::HasEnded(Daemon& daemon) {
  if (daemon.process > 0 &&
      waitpid(daemon.process, nullptr, WNOHANG) == daemon.process) {
    daemon.process = 0;
  }
  return daemon.process == 0;
}

void Deployment::KillAll() {
  for (std::vector<Daemon>* daemons : {&controls_, &entries_}) {
    for (Daemon& daemon : *daemons) {
      if (daemon.process > 0) {
        kill(daemon.process, SIGKILL);
        waitpid(daemon.process, nullptr, 0);
        daemon.process = 0;
      }
    }
  }
}

bool Deployment::Configure(const std::string& document, int64_t timeout_ms) {
  const int64_t until = NowMs() + timeout_ms;
  for (size_t i = 0; NowMs() < until; ++i) {
    const Daemon& control = controls_[i % controls_.size()];
    if (Call(ControlAddress(control), "POST", "/v1/Config.Replace", {},
             document, 1500)
            .status == 200) {
      return true;
    }
    SleepMs(100);
  }
  return false;
}

bool Deployment::AwaitReady(int64_t timeout_ms) {
  const int64_t until = NowMs() + timeout_ms;
  for (const Daemon& entry : entries_) {
    const std::string address = entry.ip + ":" + std::to_string(kReadinessPort);
    while (Call(address, "GET", "/v1/readyz", {}, "", 1000).status != 200) {
      if (NowMs() > until) {
        return false;
      }
      SleepMs(100);
    }
  }
  return true;
}

Worker::Worker(Options options, Record& record, StartHandler on_start)
    : options_(std::move(options)),
      record_(record),
      on_start_(std::move(on_start)) {}

Worker::~Worker() {
  Crash();
}

void Worker::SetLabels(std::vector<std::string> labels) {
  const std::lock_guard<std::mutex> lock(mutex_);
  options_.labels = std::move(labels);
}

std::vector<std::string> Worker::labels() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return options_.labels;
}

void Worker::Boot() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++boots_;
    boot_at_ = NowMs();
    born_ms_ = WallMs();
    sequence_ = 0;
    token_ = 0;
    lease_until_ = 0;
    next_end_ = 1;
    runs_.clear();
    ended_.clear();
    ends_.clear();
    report_to_.clear();
    acknowledged_at_ = 0;
    up_ = true;
  }
  server_ = std::make_unique<Server>(
      options_.ip, options_.port,
      [this](const Request& request) { return OnRequest(request); });
  reporter_ = std::thread([this, boot = boots_.load()] { Report(boot); });
  std::string labels;
  for (const std::string& label : options_.labels) {
    labels += labels.empty() ? label : "," + label;
  }
  record_.Line("worker " + options_.id + " boot " + std::to_string(boots_) +
               " born " + std::to_string(born_ms_) + " labels " + labels);
}

void Worker::Crash() {
  if (!up_.exchange(false)) {
    return;
  }
  server_->Stop();
  reporter_.join();
  const std::lock_guard<std::mutex> lock(mutex_);
  runs_.clear();
  record_.Line("worker " + options_.id + " crashed");
}

int64_t Worker::Clock() const {
  return NowMs() - boot_at_;
}

void Worker::Report(int boot) {
  size_t next = 0;
  while (up_ && boots_ == boot) {
    std::string body;
    std::string address;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      Poco::JSON::Object report;
      report.set("service", options_.service);
      report.set("address", options_.ip + ":" + std::to_string(options_.port));
      report.set("zone", options_.zone);
      report.set("version", "v1");
      report.set("slots", 8);
      report.set("state", "ready");
      report.set("cold_remaining_ms", 0);
      Poco::JSON::Object capacity;
      capacity.set("cpu", options_.cpu);
      capacity.set("mem_mb", options_.memory_mb);
      capacity.set("gpu", 0);
      report.set("capacity", capacity);
      Poco::JSON::Array labels;
      for (const std::string& label : options_.labels) {
        labels.add(label);
      }
      report.set("labels", labels);
      report.set("clock_ms", Clock());
      report.set("seq", ++sequence_);
      report.set("born", born_ms_.load());
      body = ToText(report);
      address = report_to_;
    }
    // A report without an acknowledgement within a second goes to the next
    // daemon.
    for (size_t i = 0; i < 2 * options_.control.size() && up_; ++i) {
      const std::string to =
          address.empty() ? options_.control[next % options_.control.size()]
                          : address;
      const Reply reply =
          Call(to, "POST", "/v1/Instances.Heartbeat/" + options_.id, {}, body,
               kAckTimeoutMs);
      if (!up_) {
        return;
      }
      record_.Line("worker " + options_.id + " report to " + to + " answer " +
                   std::to_string(reply.status));
      if (reply.status / 100 == 2) {
        if (acknowledged_at_ == 0) {
          acknowledged_at_ = NowMs();
        }
        const auto answer = ParseObject(reply.body);
        const std::lock_guard<std::mutex> lock(mutex_);
        if (answer->has("heartbeat_url")) {
          report_to_ = answer->getValue<std::string>("heartbeat_url");
        }
        break;
      }
      address.clear();
      ++next;
    }
    const int64_t due = NowMs() + options_.heartbeat_ms;
    while (up_ && NowMs() < due) {
      SleepMs(10);
    }
  }
}

Reply Worker::OnRequest(const Request& request) {
  if (!up_) {
    return {};
  }
  const auto expected = request.headers.find("goldcrestplank-expect-instance");
  if (expected != request.headers.end() && expected->second != options_.id) {
    return {421, "{}"};
  }
  if (request.method == "GET") {
    return {200, "{}"};
  }
  return OnOrder(request.path, request.body);
}

void Worker::Advance() {
  const int64_t now = NowMs();
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : runs_) {
    if (Clock() >= lease_until_) {
      over.emplace_back(task, "lapsed");
    } else if (run.stops_at != 0 && now >= run.stops_at) {
      over.emplace_back(task, "stopped");
    } else if (now >= run.ends_at) {
      over.emplace_back(task, "done");
    }
  }
  for (const auto& [task, how] : over) {
    const int64_t run = runs_.at(task).number;
    runs_.erase(task);
    ended_[task] = std::max(ended_[task], run);
    ends_.push_back({next_end_++, task, run, how});
    record_.Line("end " + task + " run " + std::to_string(run) + " " +
                 options_.id + " " + how);
  }
}

Reply Worker::OnOrder(const std::string& path, const std::string& body) {
  const auto order = ParseObject(body);
  std::unique_lock<std::mutex> lock(mutex_);
  Advance();
  const auto answer = [&](int status, const std::string& reason) {
    Poco::JSON::Object fields;
    fields.set("clock_ms", Clock());
    if (!reason.empty()) {
      fields.set("reason", reason);
    }
    return Reply{status, ToText(fields)};
  };
  const int64_t token = IntegerOf(*order, "fencing_token");
  if (token < token_) {
    return answer(409, "fence");
  }
  token_ = token;
  const auto extend = [&] {
    const int64_t until = IntegerOf(*order, "deadline_ms");
    lease_until_ =
        std::max(lease_until_, std::min(until, Clock() + kHoldMaxMs));
  };
  if (path == "/v1/hold") {
    extend();
    const int64_t cursor = IntegerOf(*order, "ack_cursor");
    std::erase_if(ends_, [&](const End& end) { return end.number <= cursor; });
    const int64_t until = NowMs() + IntegerOf(*order, "wait_ms");
    while (ends_.empty() && NowMs() < until && up_) {
      lock.unlock();
      SleepMs(2);
      lock.lock();
      Advance();
    }
    Poco::JSON::Array running;
    for (const auto& [task, run] : runs_) {
      Poco::JSON::Array row;
      row.add(task);
      row.add(run.number);
      row.add(std::string());
      row.add(std::min<int64_t>(
          99, 100 * (NowMs() - run.began_at) /
                  std::max<int64_t>(run.ends_at - run.began_at, 1)));
      running.add(row);
    }
    Poco::JSON::Array finished;
    for (const End& end : ends_) {
      Poco::JSON::Array row;
      row.add(end.number);
      row.add(end.task);
      row.add(end.run);
      row.add(end.how);
      row.add(std::string());
      finished.add(row);
    }
    Poco::JSON::Object fields;
    fields.set("clock_ms", Clock());
    fields.set("born", born_ms_.load());
    fields.set("running", running);
    fields.set("finished", finished);
    return {200, ToText(fields)};
  }
  const std::string task = order->getValue<std::string>("task");
  const int64_t number = IntegerOf(*order, "run_id");
  if (path == "/v1/run-stop") {
    ended_[task] = std::max(ended_[task], number);
    const auto found = runs_.find(task);
    if (found != runs_.end() && found->second.number <= number &&
        found->second.stops_at == 0) {
      found->second.stops_at = NowMs() + kStopMs;
    }
    return answer(200, "");
  }
  const auto running = runs_.find(task);
  if (running != runs_.end()) {
    extend();
    return running->second.number == number ? answer(200, "")
                                            : answer(409, "old");
  }
  if (ended_.contains(task) && number <= ended_[task]) {
    extend();
    return answer(409, "old");
  }
  if (IntegerOf(*order, "deadline_ms") <= Clock()) {
    return answer(409, "late");
  }
  const Start start = {task, number, order->getValue<std::string>("spec")};
  Run run;
  std::istringstream(start.spec) >> run.cpu >> run.ends_at;
  int64_t used = run.cpu;
  for (const auto& [name, other] : runs_) {
    used += other.cpu;
  }
  extend();
  if (used > options_.cpu) {
    return answer(409, "room");
  }
  run.number = number;
  run.began_at = NowMs();
  run.ends_at += run.began_at;
  runs_[task] = run;
  const Reply reply = answer(200, "");
  lock.unlock();
  on_start_(*this, start);
  return reply;
}

std::string Configuration(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r-1","host":")" + kHost +
         R"(","path_prefix":")" + kPrefix +
         R"(","kind":"non_idempotent","timeout_ms":1500,)"
         R"("target_latency_ms":60,"priority":0,"service":")" +
         kService +
         R"(","max_attempts":3,"stretch":1.6}],"services":[{"name":")" +
         kService +
         R"(","health_path":"/healthz","max_conns":64,"protocol":"h1",)"
         R"("tls":false,"admission_check":true,"standby":false}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

std::vector<std::unique_ptr<Worker>> MakeWorkers(
    const Deployment& deployment,
    const std::vector<std::string>& zones,
    int per_zone,
    Record& record,
    const Worker::StartHandler& on_start) {
  std::vector<std::unique_ptr<Worker>> workers;
  for (size_t zone = 0; zone < zones.size(); ++zone) {
    for (int i = 0; i < per_zone; ++i) {
      Worker::Options options;
      options.id = "i-" + RandomHex(8);
      options.service = kService;
      options.zone = zones[zone];
      options.ip = deployment.WorkerIp(static_cast<int>(workers.size()));
      options.labels = {i < 2 ? "a" : "b", "r" + std::to_string(zone) + "-1"};
      // A worker calls the daemon of its own zone first.
      for (size_t k = 0; k < zones.size(); ++k) {
        options.control.push_back(deployment.ControlAddress(
            deployment.controls()[(zone + k) % zones.size()]));
      }
      workers.push_back(std::make_unique<Worker>(options, record, on_start));
    }
  }
  return workers;
}

bool IsWithoutTrouble() {
  const char* setting = std::getenv("TROUBLE");
  return setting != nullptr && std::strcmp(setting, "0") == 0;
}

}  // namespace review
