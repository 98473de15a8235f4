"""Name the errors of decoders, for data of other processes."""

import msgspec

# Decoding values that are nested too deeply raises RecursionError.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError)
