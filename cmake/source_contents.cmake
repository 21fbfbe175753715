# What a build folder was built from, by the contents of the sources.
#
# The build tool compares file times. A tree whose files are older than the
# objects of a build folder that was carried over, as one that was unpacked from
# an archive, or a file that changed while it was compiled, would keep objects of
# other sources. So each configuration compares contents with those of the last
# one, and gives changed files the present time.
#
# Also run as a script during a build, which writes the digest of the programs'
# sources to a header:
#   cmake -DSOURCE_FOLDER=... -DHEADER=... -P cmake/source_contents.cmake

# Sets `result` to the project's sources, relative to `folder`, in a fixed order.
function(list_sources folder result)
  set(patterns "")
  foreach(part cmd edge goldcrest platform pool proto report soak)
    foreach(ending cc h)
      list(APPEND patterns "${folder}/${part}/*.${ending}")
    endforeach()
  endforeach()
  file(GLOB_RECURSE sources RELATIVE "${folder}" ${patterns})
  list(SORT sources)
  set(${result} "${sources}" PARENT_SCOPE)
endfunction()

# Gives the sources that differ from those of the last configuration of the build
# folder `build` the present time: all, if it has objects of unknown sources.
function(touch_changed_sources folder build)
  set(record "${build}/source_contents.txt")
  set(before "")
  if(EXISTS "${record}")
    file(STRINGS "${record}" before)
  elseif(NOT EXISTS "${build}/.ninja_log" AND NOT EXISTS "${build}/Makefile")
    set(before "none")  # no objects
  endif()
  list_sources("${folder}" sources)
  set(now "")
  set(changed 0)
  foreach(source ${sources})
    file(SHA256 "${folder}/${source}" hash)
    set(line "${hash} ${source}")
    list(APPEND now "${line}")
    if(NOT before STREQUAL "none" AND NOT line IN_LIST before)
      file(TOUCH_NOCREATE "${folder}/${source}")
      math(EXPR changed "${changed} + 1")
    endif()
  endforeach()
  list(JOIN now "\n" text)
  file(WRITE "${record}" "${text}\n")
  message(STATUS "Sources changed since the last configuration: ${changed}")
endfunction()

# Writes the digest of the programs' sources, without tests, to `header`, unless
# the header has it.
function(write_source_digest folder header)
  list_sources("${folder}" sources)
  list(FILTER sources EXCLUDE REGEX "/testing/")
  set(text "")
  foreach(source ${sources})
    file(SHA256 "${folder}/${source}" hash)
    string(APPEND text "${hash} ${source}\n")
  endforeach()
  string(SHA256 digest "${text}")
  string(SUBSTRING "${digest}" 0 12 digest)
  set(content "#define GOLDCREST_SOURCE_DIGEST \"${digest}\"\n")
  set(present "")
  if(EXISTS "${header}")
    file(READ "${header}" present)
  endif()
  if(NOT present STREQUAL content)
    file(WRITE "${header}" "${content}")
  endif()
  message(STATUS "source ${digest}")
endfunction()

if(CMAKE_SCRIPT_MODE_FILE STREQUAL CMAKE_CURRENT_LIST_FILE)
  write_source_digest("${SOURCE_FOLDER}" "${HEADER}")
endif()
