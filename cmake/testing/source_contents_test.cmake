# Guards against a build folder that was carried over and keeps objects of other
# sources, since these have later times than the sources of now (review/7 broke
# ROUTE that way on mended sources).

cmake_minimum_required(VERSION 3.22)
include(${CMAKE_CURRENT_LIST_DIR}/../source_contents.cmake)

set(source "${CASE_FOLDER}/tree/pool/first.cc")
set(other "${CASE_FOLDER}/tree/pool/second.cc")
set(build "${CASE_FOLDER}/build")
set(object "${build}/object")

# Writes a file with a time long before that of any object, as a file unpacked
# from an archive has.
function(write_old_file path content)
  file(WRITE "${path}" "${content}")
  execute_process(COMMAND touch -d 2020-01-01 "${path}" COMMAND_ERROR_IS_FATAL ANY)
endfunction()

# Fails unless `path` is newer than the object, or is not, as `expected` says.
function(expect_newer path expected why)
  set(newer NO)
  if("${path}" IS_NEWER_THAN "${object}")
    set(newer YES)
  endif()
  if(NOT newer STREQUAL expected)
    message(FATAL_ERROR "${why}: ${path} is newer than its object: ${newer}")
  endif()
endfunction()

# Builds an object of the sources of now.
function(build_object)
  execute_process(COMMAND ${CMAKE_COMMAND} -E sleep 0.05)
  file(WRITE "${object}" "")
  file(WRITE "${build}/.ninja_log" "")
  execute_process(COMMAND ${CMAKE_COMMAND} -E sleep 0.05)
endfunction()

file(REMOVE_RECURSE "${CASE_FOLDER}")
write_old_file("${source}" "one")
write_old_file("${other}" "same")
touch_changed_sources("${CASE_FOLDER}/tree" "${build}")
expect_newer("${source}" YES "without an object")
build_object()
touch_changed_sources("${CASE_FOLDER}/tree" "${build}")
expect_newer("${source}" NO "unchanged")

write_old_file("${source}" "two")
expect_newer("${source}" NO "what the build tool sees")
touch_changed_sources("${CASE_FOLDER}/tree" "${build}")
expect_newer("${source}" YES "changed, with an old time")
expect_newer("${other}" NO "unchanged beside a changed one")

# A build folder of a version that kept no record.
build_object()
file(REMOVE "${build}/source_contents.txt")
touch_changed_sources("${CASE_FOLDER}/tree" "${build}")
expect_newer("${other}" YES "objects of unknown sources")

write_source_digest("${CASE_FOLDER}/tree" "${build}/first.h")
write_old_file("${other}" "another")
write_source_digest("${CASE_FOLDER}/tree" "${build}/second.h")
file(READ "${build}/first.h" first)
file(READ "${build}/second.h" second)
if(first STREQUAL second)
  message(FATAL_ERROR "two trees have one digest")
endif()
