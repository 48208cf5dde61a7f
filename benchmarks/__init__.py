"""Hold the benchmarks, which print one JSON object each."""
