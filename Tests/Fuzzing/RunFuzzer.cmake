# Runs a fuzz target with a fixed seed and number of runs. New inputs go to an empty folder, so that each
# run starts from the committed corpus alone and leaves it unchanged.
# Arguments: FUZZER, SCRATCH, CORPORA (separated by commas) and DICTIONARY, which may be empty.
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
  message(FATAL_ERROR "${FUZZER} found a fault: ${result}; its input is in ${SCRATCH}")
endif()
