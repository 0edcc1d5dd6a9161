#pragma once

// Compile-time limits. Define a macro before including this header, or with -D,
// to override it. Sizes are in bytes, times in milliseconds unless named
// otherwise.

#ifndef LENTILCROSS_CONFIG_MAX_DEPTH
#define LENTILCROSS_CONFIG_MAX_DEPTH 32
#endif

#ifndef LENTILCROSS_CONFIG_MAX_PEER_MESSAGE
#define LENTILCROSS_CONFIG_MAX_PEER_MESSAGE 1048576
#endif

// Largest HTTP body of a request or an answer; leaves room for the envelope in
// one peer message.
#ifndef LENTILCROSS_CONFIG_MAX_BODY
#define LENTILCROSS_CONFIG_MAX_BODY 983040
#endif

#ifndef LENTILCROSS_CONFIG_MAX_USED_TICKETS
#define LENTILCROSS_CONFIG_MAX_USED_TICKETS 65536
#endif

#ifndef LENTILCROSS_CONFIG_MAX_TICKETS_PER_REQUEST
#define LENTILCROSS_CONFIG_MAX_TICKETS_PER_REQUEST 64
#endif

#ifndef LENTILCROSS_CONFIG_MAX_CONTEXT_TOKENS
#define LENTILCROSS_CONFIG_MAX_CONTEXT_TOKENS 65536
#endif

// Non-idempotent onward uses of one context token.
#ifndef LENTILCROSS_CONFIG_MAX_ONWARD_USES
#define LENTILCROSS_CONFIG_MAX_ONWARD_USES 64
#endif

#ifndef LENTILCROSS_CONFIG_MAX_KEPT_ANSWER
#define LENTILCROSS_CONFIG_MAX_KEPT_ANSWER 4096
#endif

#ifndef LENTILCROSS_CONFIG_MAX_QUEUED_CALLS
#define LENTILCROSS_CONFIG_MAX_QUEUED_CALLS 1024
#endif

#ifndef LENTILCROSS_CONFIG_MAX_STARTED_CALLS
#define LENTILCROSS_CONFIG_MAX_STARTED_CALLS 8192
#endif

// Largest value that the platform's configuration service holds.
#ifndef LENTILCROSS_CONFIG_MAX_PUBLISHED_VALUE
#define LENTILCROSS_CONFIG_MAX_PUBLISHED_VALUE 1048576
#endif

// Largest configuration document, decompressed. One of 10,000 hosts takes
// 1.2 MB.
#ifndef LENTILCROSS_CONFIG_MAX_CONFIGURATION
#define LENTILCROSS_CONFIG_MAX_CONFIGURATION 4194304
#endif

#ifndef LENTILCROSS_CONFIG_KEPT_DELTAS
#define LENTILCROSS_CONFIG_KEPT_DELTAS 256
#endif

#ifndef LENTILCROSS_CONFIG_MAX_MEMBER_UPDATES
#define LENTILCROSS_CONFIG_MAX_MEMBER_UPDATES 16
#endif

#ifndef LENTILCROSS_CONFIG_RING_CAPACITY
#define LENTILCROSS_CONFIG_RING_CAPACITY 1024
#endif

#ifndef LENTILCROSS_CONFIG_MAX_EXTRA_ATTEMPTS
#define LENTILCROSS_CONFIG_MAX_EXTRA_ATTEMPTS 16
#endif

// Longest list of headers, loans or service levels in one peer message. Covers
// the 470 services of the design size.
#ifndef LENTILCROSS_CONFIG_MAX_PEER_LIST
#define LENTILCROSS_CONFIG_MAX_PEER_LIST 1024
#endif

// Hosts that a process remembers; the design size is 10,000.
#ifndef LENTILCROSS_CONFIG_MAX_MEMBERS
#define LENTILCROSS_CONFIG_MAX_MEMBERS 16384
#endif

// How often one membership update is sent. With two digests a second it
// reaches 10,000 hosts (2^13.3) with a wide margin.
#ifndef LENTILCROSS_CONFIG_MEMBER_UPDATE_SENDS
#define LENTILCROSS_CONFIG_MEMBER_UPDATE_SENDS 12
#endif

// Longest name of a host, service, organisation, key or preset.
#ifndef LENTILCROSS_CONFIG_MAX_NAME
#define LENTILCROSS_CONFIG_MAX_NAME 128
#endif

// Findings reported for one document; the rest is only counted.
#ifndef LENTILCROSS_CONFIG_MAX_FINDINGS
#define LENTILCROSS_CONFIG_MAX_FINDINGS 1000
#endif

// Bytes of a configuration document in one snapshot message. Larger pieces
// delay calls on the same link; must be below the peer message size.
#ifndef LENTILCROSS_CONFIG_SNAPSHOT_PIECE
#define LENTILCROSS_CONFIG_SNAPSHOT_PIECE 65536
#endif
