#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, from the
# libraries that the deploy file's build has left in target/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I. -DBOOST_LOG_DYN_LINK)
sources=(
  review/standins-2/testing/deployment.cc
  review/standins-2/testing/late_worker.cc
  edge/testing/relay.cc
  platform/testing/soak_wire.cc
  pool/testing/fake_worker.cc
  soak/processes.cc
  soak/soak_workers.cc
)
cases=(lost_cancel_case wrong_service_case late_start_case unconfirmed_cancels_case)
jobs=()
for source in "${sources[@]}" \
  "${cases[@]/%/.cc}"; do
  [ -f "$source" ] || source="review/standins-2/testing/$source"
  g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cc).o" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
objects=()
for source in "${sources[@]}"; do
  objects+=("$out/$(basename "$source" .cc).o")
done
for case in "${cases[@]}"; do
  g++ -o "$out/$case" "$out/$case.o" "${objects[@]}" \
    target/libgoldcrest_platform.a target/libgoldcrest_edge.a \
    target/libgoldcrest.a target/libgoldcrest_proto.a \
    -lPocoNet -lPocoJSON -lPocoFoundation -lgflags -lboost_log_setup \
    -lboost_log -lboost_thread -lzmq -lprotobuf -lpthread
done
