#!/usr/bin/env bash
# Builds the stand-ins that the cases start into target/, with the libraries
# that the deploy file's build has left there.
set -euo pipefail
cd "$(dirname "$0")/.."
g++ -std=c++20 -O1 -DBOOST_LOG_DYN_LINK -I. -o target/review_case \
  review/testing/review_case.cc review/testing/stand_ins.cc \
  platform/testing/soak_wire.cc edge/testing/relay.cc soak/processes.cc \
  target/libgoldcrest_platform.a target/libgoldcrest_edge.a \
  target/libgoldcrest.a target/libgoldcrest_proto.a \
  -lPocoNet -lPocoJSON -lPocoFoundation -lprotobuf -lgflags -lzmq \
  -lboost_log_setup -lboost_log -lboost_thread -lboost_system -lpthread
