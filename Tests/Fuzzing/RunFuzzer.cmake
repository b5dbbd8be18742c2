# Runs a fuzz target with a fixed seed and number of runs. New inputs are written to an empty directory, so that each run
# starts from the committed corpus and leaves it unchanged.
# Variables: FUZZER, SCRATCH, CORPORA (comma-separated) and DICTIONARY (may be empty).
file(REMOVE_RECURSE ${SCRATCH})
file(MAKE_DIRECTORY ${SCRATCH})
string(REPLACE "," ";" corpora "${CORPORA}")
set(dictionary)
if(DICTIONARY)
  set(dictionary -dict=${DICTIONARY})
endif()
execute_process(
  COMMAND ${FUZZER} -runs=20000 -seed=1 -max_len=4096 -timeout=60 -rss_limit_mb=2048 -verbosity=0
    ${dictionary} -artifact_prefix=${SCRATCH}/ ${SCRATCH} ${corpora}
  RESULT_VARIABLE result)
if(NOT result EQUAL 0)
  message(FATAL_ERROR "${FUZZER} failed: ${result}; the input that caused the failure is in ${SCRATCH}")
endif()
