# What this assigner does beside the platform's protocol. What is not named here is off.
# `rookpulley check deploy/operators.star` says what it switches on.

# Where operators reach it. Beyond loopback a token is a must: token_file = "/path/to/token".
address(listen = "127.0.0.1:3990")

# So many versions are kept of each table, within so many megabytes for all.
versions(keep = 8, megabytes = 16)

# Lines on standard error: "text" or "json".
log(form = "text")
