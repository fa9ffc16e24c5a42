# Optional features of this assigner beyond the platform's protocol. Features not listed here are disabled.
# `rookpulley check deploy/operators.star` lists the enabled features.

# The listen address of the operator API. Other than on loopback a token is required: token_file = "/path/to/token".
address(listen = "127.0.0.1:3990")

# Number of versions kept per table, and the total size limit of all versions.
versions(keep = 8, megabytes = 16)

# Format of the log on standard error: "text" or "json".
log(form = "text")
