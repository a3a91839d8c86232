# Every folder below src/ that is not a program is a module: an object library
# whose sources are all found, so that plug-ins which only register themselves
# are linked although nothing names them.
function(gypsumdale_module name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${name}/*.cpp
                                      ${CMAKE_SOURCE_DIR}/src/${name}/detail/*.cpp)
  if(NOT sources)
    return()
  endif()
  add_library(gypsumdale_${name} OBJECT ${sources})
  target_link_libraries(gypsumdale_${name} PUBLIC gypsumdale_options ${ARGN})
  set_property(GLOBAL APPEND PROPERTY GYPSUMDALE_MODULES gypsumdale_${name})
endfunction()

file(GLOB generated_sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/generated/*.cpp)
if(generated_sources)
  add_library(gypsumdale_generated OBJECT ${generated_sources})
  target_include_directories(gypsumdale_generated SYSTEM PUBLIC ${CMAKE_SOURCE_DIR}/generated)
  target_link_libraries(gypsumdale_generated PUBLIC PkgConfig::THRIFT)
  target_compile_options(gypsumdale_generated PRIVATE -w)
endif()

# Decision logic: no sockets, no fibers, no wall time.
gypsumdale_module(core OpenSSL::Crypto)
gypsumdale_module(settings PkgConfig::YAMLCPP OpenSSL::Crypto)
gypsumdale_module(policy PkgConfig::XXHASH)
gypsumdale_module(ledger PkgConfig::XXHASH PkgConfig::THRIFT)
gypsumdale_module(jobs PkgConfig::XXHASH PkgConfig::THRIFT)
gypsumdale_module(fleet PkgConfig::XXHASH PkgConfig::THRIFT)
gypsumdale_module(observe)
gypsumdale_module(serving PkgConfig::XXHASH)
# Runtime and kernel: everything that touches sockets, threads and other processes.
gypsumdale_module(runtime Boost::fiber Boost::context Boost::url OpenSSL::Crypto)
gypsumdale_module(kernel Boost::fiber Boost::context Boost::url PkgConfig::THRIFT PkgConfig::YAMLCPP)

# The one adapter to the users' platform, and the entry process that runs on it.
file(GLOB platform_sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/platform/*.cpp)
add_library(gypsumdale_platform OBJECT ${platform_sources})
target_include_directories(gypsumdale_platform PUBLIC ${CMAKE_SOURCE_DIR})
target_link_libraries(gypsumdale_platform PUBLIC gypsumdale_options)
gypsumdale_module(entry gypsumdale_platform Boost::fiber Boost::context PkgConfig::THRIFT)

# What the command-line tool does, apart from its main(), so that a test can link it.
gypsumdale_module(ctl PkgConfig::YAMLCPP)

function(gypsumdale_link_modules target)
  foreach(name IN LISTS ARGN)
    if(TARGET gypsumdale_${name})
      target_link_libraries(${target} PRIVATE gypsumdale_${name})
    endif()
  endforeach()
endfunction()
