#include "metrics.h"

#include <array>
#include <nlohmann/json.hpp>
#include <string_view>
#include <variant>

namespace lentilcross {
namespace {

// Writes samples; the samples of one metric name follow each other.
class Writer {
 public:
  void Counter(std::string_view name, std::string_view help,
               std::uint64_t value) {
    Head(name, "counter", help);
    Sample(name, "", std::to_string(value));
  }
  void Gauge(std::string_view name, std::string_view help, double value) {
    Head(name, "gauge", help);
    Sample(name, "", nlohmann::json(value).dump());
  }
  void Head(std::string_view name, std::string_view type,
            std::string_view help) {
    text_ += "# HELP lentilcross_" + std::string(name) + " " +
             std::string(help) + "\n# TYPE lentilcross_" + std::string(name) +
             " " + std::string(type) + "\n";
  }
  void Sample(std::string_view name, const std::string& labels,
              const std::string& value) {
    text_ += "lentilcross_" + std::string(name);
    if (!labels.empty()) text_ += "{" + labels + "}";
    text_ += " " + value + "\n";
  }
  void Summary(std::string_view name, std::string_view help,
               const LatencyStats& stats) {
    Head(name, "summary", help);
    const auto number = [](double value) {
      return nlohmann::json(value).dump();
    };
    Sample(name, "quantile=\"0.5\"", number(stats.p50_s));
    Sample(name, "quantile=\"0.9\"", number(stats.p90_s));
    Sample(name, "quantile=\"0.99\"", number(stats.p99_s));
    Sample(std::string(name) + "_sum", "", number(stats.sum_s));
    Sample(std::string(name) + "_count", "", std::to_string(stats.count));
    const std::string max = std::string(name) + "_max";
    Gauge(max, "Largest value since the start.", stats.max_s);
  }
  std::string Take() { return std::move(text_); }

 private:
  std::string text_;
};

std::string Label(std::string_view name, std::string_view value) {
  std::string label = std::string(name) + "=\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') label += '\\';
    label += c == '\n' ? ' ' : c;
  }
  return label + "\"";
}

void WriteState(Writer& out, const DaemonStats& stats) {
  out.Gauge("live", "1 while the daemon serves.", stats.live ? 1 : 0);
  out.Gauge("ready", "1 while keyed routes are served.", stats.ready ? 1 : 0);
  out.Gauge("draining", "1 during a graceful shutdown.",
            stats.draining ? 1 : 0);
  out.Gauge("configuration_stale", "1 while keyed routes are refused as stale.",
            stats.stale ? 1 : 0);
  out.Gauge("configuration_version", "Version of the active configuration.",
            static_cast<double>(stats.version.value()));
  out.Gauge("configuration_findings",
            "Findings of the last invalid configuration.",
            static_cast<double>(stats.findings.list().size()));
  out.Gauge("configuration_refused",
            "1 while a newer version than the active one was refused.",
            stats.refused_version ? 1 : 0);
  out.Gauge("configuration_confirmation_age_seconds",
            "Time since the platform confirmed the active version.",
            std::chrono::duration<double>(stats.confirmation_age).count());
  out.Gauge("running_requests", "Requests in progress.",
            static_cast<double>(stats.running_requests));
  out.Gauge("tickets_in_use", "Used tickets that are recorded.",
            static_cast<double>(stats.used_tickets));
}

void WritePipeline(Writer& out, const PipelineStats& stats) {
  out.Counter("entry_requests_total", "Requests of callers.",
              stats.entry_requests);
  out.Counter("onward_requests_total", "Onward calls of own targets.",
              stats.onward_requests);
  out.Counter("peer_calls_total", "Calls received from peers.",
              stats.peer_calls);
  out.Counter("answered_total", "Requests with an answer of a target.",
              stats.answered);
  out.Head("refused_total", "counter", "Refused requests by reason.");
  for (int i = 1; i < kReasonCount; ++i) {
    const auto reason = static_cast<Reason>(i);
    out.Sample("refused_total", Label("reason", ToString(reason)),
               std::to_string(stats.refused[static_cast<std::size_t>(i)]));
  }
  out.Counter("retries_total", "Attempts beyond the first.", stats.retries);
  out.Counter("rate_waits_total", "Requests that waited for a loan.",
              stats.rate_waits);
  out.Counter("cancels_sent_total", "Cancellations sent to peers.",
              stats.cancels_sent);
  out.Counter("unmatched_replies_total", "Replies without a waiting call.",
              stats.unmatched_replies);
  out.Counter("tickets_forwarded_total",
              "Requests forwarded to the issuer of their ticket.",
              stats.tickets_forwarded);
}

void WriteHomeRefusals(Writer& out,
                       const std::vector<HomeRefusals::Count>& counts) {
  out.Head("home_refusals_total", "counter",
           "Requests refused because no home region could be reached.");
  for (const HomeRefusals::Count& count : counts) {
    out.Sample("home_refusals_total",
               Label("organisation", count.organisation) + "," +
                   Label("home_regions", count.regions),
               std::to_string(count.refused));
  }
}

void WriteRate(Writer& out, const RateLimiter::Stats& rate) {
  out.Counter("rate_admitted_total", "Requests charged.", rate.admitted);
  out.Counter("rate_refused_total", "Requests without a token.", rate.refused);
  out.Counter("rate_waited_total", "Charges that had to wait.", rate.waited);
  out.Counter("rate_suspensions_total",
              "Own quotas suspended for want of contact.", rate.suspensions);
  out.Counter("loans_granted_total", "Quota lent.", rate.loans_granted);
  out.Counter("loans_taken_total", "Quota borrowed.", rate.loans_taken);
  out.Counter("loans_expired_total", "Loans that ended.", rate.loans_expired);
}

void WriteDecisions(Writer& out, const DaemonStats& stats) {
  out.Counter("first_attempts_total", "First attempts of calls.",
              stats.retry.first_attempts);
  out.Counter("budget_retries_total", "Retries within the budget.",
              stats.retry.retries);
  out.Counter("budget_denied_total", "Retries denied by the budget.",
              stats.retry.denied);
  out.Counter("tickets_issued_total", "Tickets issued.", stats.tickets.issued);
  out.Counter("tickets_used_total", "Tickets claimed.", stats.tickets.used);
  out.Counter("tickets_freed_total", "Tickets freed after a proven not-run.",
              stats.tickets.freed);
  out.Counter("ticket_repeats_total", "Repeated uses answered or refused.",
              stats.tickets.repeats);
  out.Counter("tickets_refused_full_total", "Refused: the table was full.",
              stats.tickets.refused_full);
  out.Counter("gate_admitted_total", "Requests past the entry gate.",
              stats.gate.admitted);
  out.Counter("gate_refused_total", "Requests shed at entry.",
              stats.gate.refused);
  out.Counter("gate_probes_total", "Requests admitted as probes.",
              stats.gate.probes);
}

void WriteDispatch(Writer& out, const DispatchFence::Stats& fence) {
  out.Counter("calls_received_total", "Calls for own targets.", fence.received);
  out.Counter("calls_duplicate_total", "Duplicate calls dropped.",
              fence.duplicates);
  out.Counter("calls_fenced_total", "Calls cancelled before the write.",
              fence.fenced);
  out.Counter("calls_late_total", "Deadlines that passed before the write.",
              fence.expired_before_write);
  out.Counter("calls_refused_full_total", "Refused: the fence was full.",
              fence.refused_full);
}

void WriteRouting(Writer& out, const DaemonStats& stats) {
  out.Counter("router_picks_total", "Targets chosen.", stats.router.picks);
  out.Counter("router_remote_picks_total",
              "Targets chosen in another failure domain.",
              stats.router.remote_picks);
  out.Counter("router_ejections_total", "Targets ejected.",
              stats.router.ejections);
  out.Counter("router_probes_total", "Probes of ejected targets.",
              stats.router.probes);
  out.Counter("router_no_target_total", "Calls without a usable target.",
              stats.router.no_target);
  out.Counter("router_cold_picks_total", "Cold targets chosen.",
              stats.router.cold_picks);
  out.Counter("calls_moved_total",
              "Own calls that a target without room handed back.",
              stats.hand_backs.moved);
  out.Counter("calls_moved_found_room_total",
              "Of those, calls that the next target started at once.",
              stats.hand_backs.found_room);
  out.Counter("member_updates_applied_total", "Membership updates applied.",
              stats.membership.updates_applied);
  out.Counter("member_updates_ignored_total", "Membership updates ignored.",
              stats.membership.updates_ignored);
  out.Counter("member_suspicions_total", "Hosts suspected.",
              stats.membership.suspicions);
  out.Counter("member_table_full_total", "Updates refused: table full.",
              stats.membership.table_full);
}

void WriteConfiguration(Writer& out, const DaemonStats& stats) {
  const ConfigDistributor::Stats& spread = stats.spread;
  out.Counter("config_applied_total", "Versions taken over.", spread.applied);
  out.Counter("config_ignored_older_total", "Versions not above the active.",
              spread.ignored_older);
  out.Counter("config_rejected_total", "Invalid documents.", spread.rejected);
  out.Counter("config_corrupt_total", "Documents with a wrong checksum.",
              spread.corrupt);
  out.Counter("config_deltas_sent_total", "Deltas sent.", spread.deltas_sent);
  out.Counter("config_snapshots_sent_total", "Snapshots sent.",
              spread.snapshots_sent);
  out.Counter("config_requests_sent_total", "Requests to peers.",
              spread.requests_sent);
  out.Counter("platform_reads_total", "Reads of the platform.",
              stats.platform.reads);
  out.Counter("platform_watches_total", "Watches at the platform.",
              stats.platform.watches);
  out.Counter("platform_host_lists_total", "Reads of the host list.",
              stats.platform.host_lists);
  out.Counter("platform_failures_total", "Failed calls to the platform.",
              stats.platform.failures);
}

void WriteFleet(Writer& out, const DaemonStats& stats) {
  out.Counter("registry_restores_total",
              "Restores of the platform from a backup.", stats.fleet.restores);
  out.Counter("registry_withheld_total",
              "Restored entries of targets that had drained or left.",
              stats.fleet.withheld);
  out.Gauge("evacuated_domains", "Failure domains that are evacuated.",
            static_cast<double>(stats.evacuated.size()));
  out.Counter("evacuation_changes_total", "Evacuations begun and ended.",
              stats.evacuations.changes);
  out.Counter("evacuations_kept_total",
              "Evacuations kept although a restored platform lacks them.",
              stats.evacuations.kept_after_restore);
}

void WritePeers(Writer& out, const PeerLinkStats& peers) {
  out.Counter("peer_dialled_total", "Links dialled.", peers.dialled);
  out.Counter("peer_accepted_total", "Links accepted.", peers.accepted);
  out.Counter("peer_authenticated_total", "Links with a good proof.",
              peers.authenticated);
  out.Counter("peer_refused_proof_total", "Links with a wrong proof.",
              peers.refused_proof);
  out.Counter("peer_refused_messages_total", "Messages refused.",
              peers.refused_messages);
  out.Counter("peer_silent_total", "Links closed after silence.", peers.silent);
  out.Counter("peer_closed_total", "Links closed.", peers.closed);
  out.Counter("peer_messages_sent_total", "Messages sent.",
              peers.messages_sent);
  out.Counter("peer_messages_received_total", "Messages received.",
              peers.messages_received);
  out.Counter("peer_queue_full_total", "Messages dropped: queue full.",
              peers.queue_full);
}

// Names of the peer message kinds, in the order of `PeerMessage`.
constexpr std::array<std::string_view, std::variant_size_v<PeerMessage>>
    kMessageKinds = {"hello",
                     "proof",
                     "call",
                     "reply",
                     "cancel",
                     "cancel-ack",
                     "digest",
                     "config-request",
                     "config-delta",
                     "config-snapshot",
                     "loan-request",
                     "loan-grant",
                     "loan-return",
                     "leave",
                     "ping",
                     "pong",
                     "registry-request",
                     "registry-delta",
                     "lapsed-hosts"};

void WritePeerBytes(Writer& out, const PeerLinkStats& peers) {
  out.Head("peer_sent_bytes_total", "counter",
           "Bytes of messages sent, without websocket and TCP headers.");
  for (std::size_t i = 0; i < kMessageKinds.size(); ++i) {
    out.Sample("peer_sent_bytes_total", Label("kind", kMessageKinds[i]),
               std::to_string(peers.bytes_sent[i]));
  }
}

void WriteFront(Writer& out, const std::string& name,
                const HttpFrontStats& front) {
  out.Counter(name + "_connections_total", "Connections.", front.connections);
  out.Counter(name + "_requests_total", "Requests.", front.requests);
  out.Counter(name + "_malformed_total", "Malformed requests.",
              front.malformed);
  out.Counter(name + "_disconnects_total", "Callers gone before the answer.",
              front.disconnects);
  out.Counter(name + "_refused_connections_total",
              "Connections refused: limit reached.", front.refused_connections);
}

void WriteTargetClient(Writer& out, const TargetClientStats& client) {
  out.Counter("target_connects_total", "Connections opened.", client.connects);
  out.Counter("target_connect_failures_total", "Connections not opened.",
              client.connect_failures);
  out.Counter("target_reused_total", "Requests on a reused connection.",
              client.reused);
  out.Counter("target_requests_total", "Requests to targets.", client.requests);
  out.Counter("target_failed_unsent_total", "Failures before any byte.",
              client.failed_unsent);
  out.Counter("target_failed_sent_total", "Failures after a byte.",
              client.failed_sent);
  out.Counter("target_cancelled_total", "Requests cancelled.",
              client.cancelled);
  out.Counter("target_pool_full_total", "Requests refused: pool full.",
              client.pool_full);
  out.Counter("target_foreign_answers_total",
              "Answers dropped because they named another request.",
              client.foreign_answers);
  out.Counter("target_impossible_statuses_total",
              "Answers whose status is none, or was not asked for.",
              client.impossible_statuses);
  out.Gauge("target_held_bytes", "Bytes of incomplete responses.",
            static_cast<double>(client.held_bytes));
  out.Counter("target_held_full_total",
              "Requests failed because incomplete responses held too much.",
              client.held_full);
}

void WriteTargets(Writer& out, const std::vector<TargetStatus>& targets) {
  const auto write = [&](std::string_view name, std::string_view type,
                         std::string_view help, const auto& value) {
    out.Head(name, type, help);
    for (const TargetStatus& target : targets) {
      out.Sample(
          name,
          Label("target", target.name) + "," + Label("service", target.service),
          std::to_string(value(target)));
    }
  };
  write("target_limit", "gauge", "Concurrency limit.",
        [](const auto& target) { return target.limit; });
  write("target_in_flight", "gauge", "Requests at the target.",
        [](const auto& target) { return target.in_flight; });
  write("target_queued", "gauge", "Requests that wait for the target.",
        [](const auto& target) { return target.queued; });
  write("target_level", "gauge", "Shedding level.",
        [](const auto& target) { return target.level; });
  write("target_admitted_total", "counter", "Calls admitted.",
        [](const auto& target) { return target.admission.admitted; });
  write("target_waited_total", "counter", "Calls queued.",
        [](const auto& target) { return target.admission.queued; });
  write("target_shed_total", "counter", "Calls shed on arrival.",
        [](const auto& target) { return target.admission.shed; });
  write("target_expired_total", "counter", "Calls expired in the queue.",
        [](const auto& target) { return target.admission.expired; });
  write("target_evicted_total", "counter", "Calls evicted from the queue.",
        [](const auto& target) { return target.admission.evicted; });
  write("target_cold", "gauge", "1 while the target is cold or may be.",
        [](const auto& target) { return target.cold ? 1 : 0; });
  write("target_cold_calls_total", "counter", "Calls to the cold target.",
        [](const auto& target) { return target.cold_start.starts; });
  write("target_cold_refused_total", "counter",
        "Calls handed back because the target is cold.",
        [](const auto& target) { return target.cold_start.refused; });
  write("target_handed_back_total", "counter",
        "Calls handed back because the target has no room.",
        [](const auto& target) { return target.handed_back; });
  write("target_health_checks_total", "counter", "Health checks sent.",
        [](const auto& target) { return target.health_checks; });
}

void WriteObservation(Writer& out, const ObservationStats& stats) {
  out.Counter("log_dropped_total", "Log events dropped: ring full.",
              stats.log_dropped);
  out.Counter("audit_recorded_total", "Audit records.", stats.audit_recorded);
  out.Counter("audit_dropped_total", "Audit records dropped: trail full.",
              stats.audit_dropped);
  out.Counter("operator_requests_total", "Requests of operators.",
              stats.operator_requests);
  out.Counter("operator_refused_connections_total",
              "Operator connections refused: limit reached.",
              stats.operator_refused_connections);
}

}  // namespace

std::string MetricsText(const DaemonStats& stats,
                        const ObservationStats& observation) {
  Writer out;
  WriteState(out, stats);
  WritePipeline(out, stats.pipeline);
  WriteHomeRefusals(out, stats.home_refusals);
  out.Summary("request_seconds", "Requests of callers, arrival to answer.",
              stats.request_latency);
  out.Summary("target_seconds", "Own targets, dispatch to answer.",
              stats.target_latency);
  WriteRate(out, stats.rate);
  WriteDecisions(out, stats);
  WriteDispatch(out, stats.fence);
  WriteRouting(out, stats);
  WriteConfiguration(out, stats);
  WriteFleet(out, stats);
  WritePeers(out, stats.peers);
  WritePeerBytes(out, stats.peers);
  WriteFront(out, "caller_listener", stats.caller);
  WriteFront(out, "onward_listener", stats.onward);
  WriteTargetClient(out, stats.target_client);
  WriteTargets(out, stats.targets);
  out.Counter("ring_to_control_full_total", "Messages dropped: ring full.",
              stats.rings.to_control_full);
  out.Counter("ring_to_data_full_total", "Messages dropped: ring full.",
              stats.rings.to_data_full);
  WriteObservation(out, observation);
  return out.Take();
}

nlohmann::json StatusDocument(const DaemonStats& stats) {
  nlohmann::json document = {{"host", stats.host},
                             {"failure_domain", stats.failure_domain},
                             {"live", stats.live},
                             {"ready", stats.ready},
                             {"draining", stats.draining},
                             {"stale", stats.stale},
                             {"version", stats.version.value()},
                             {"refused_version", nullptr},
                             {"preset", stats.preset},
                             {"running_requests", stats.running_requests},
                             {"evacuated", stats.evacuated},
                             {"members", nlohmann::json::array()},
                             {"targets", nlohmann::json::array()},
                             {"findings", nlohmann::json::array()}};
  if (stats.refused_version) {
    document["refused_version"] = stats.refused_version->value();
  }
  for (const auto& [host, state, linked] : stats.members) {
    document["members"].push_back(
        {{"host", host}, {"state", state}, {"linked", linked}});
  }
  for (const TargetStatus& target : stats.targets) {
    document["targets"].push_back({{"name", target.name},
                                   {"service", target.service},
                                   {"limit", target.limit},
                                   {"in_flight", target.in_flight},
                                   {"queued", target.queued},
                                   {"level", target.level},
                                   {"cold", target.cold},
                                   {"evacuated", target.evacuated}});
  }
  for (const auto& [place, text] : stats.findings.list()) {
    document["findings"].push_back({{"place", place}, {"text", text}});
  }
  return document;
}

}  // namespace lentilcross
