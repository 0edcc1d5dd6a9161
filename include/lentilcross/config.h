#pragma once

// Compile-time limits. Override one by defining its macro with -D or before
// including this header. Sizes are in bytes.

// Maximum number of hops of a request.
#ifndef LENTILCROSS_CONFIG_MAX_DEPTH
#define LENTILCROSS_CONFIG_MAX_DEPTH 32
#endif

#ifndef LENTILCROSS_CONFIG_MAX_PEER_MESSAGE
#define LENTILCROSS_CONFIG_MAX_PEER_MESSAGE 1048576
#endif

// Maximum HTTP body of a request or response. Leaves room for the envelope in a
// peer message.
#ifndef LENTILCROSS_CONFIG_MAX_BODY
#define LENTILCROSS_CONFIG_MAX_BODY 983040
#endif

// Maximum bytes of incomplete responses of all targets. Without it, a target
// that never ends its responses would hold MAX_BODY for each of its slots.
#ifndef LENTILCROSS_CONFIG_MAX_HELD_RESPONSES
#define LENTILCROSS_CONFIG_MAX_HELD_RESPONSES 33554432
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

// Maximum number of non-idempotent onward calls with one context token.
#ifndef LENTILCROSS_CONFIG_MAX_ONWARD_USES
#define LENTILCROSS_CONFIG_MAX_ONWARD_USES 64
#endif

// Maximum response (body and content type) stored for a used ticket.
#ifndef LENTILCROSS_CONFIG_MAX_KEPT_ANSWER
#define LENTILCROSS_CONFIG_MAX_KEPT_ANSWER 4096
#endif

#ifndef LENTILCROSS_CONFIG_MAX_QUEUED_CALLS
#define LENTILCROSS_CONFIG_MAX_QUEUED_CALLS 1024
#endif

// Maximum number of unfinished calls at a target, including those that wait for
// onward calls.
#ifndef LENTILCROSS_CONFIG_MAX_STARTED_CALLS
#define LENTILCROSS_CONFIG_MAX_STARTED_CALLS 8192
#endif

// Maximum value size in the platform's configuration service.
#ifndef LENTILCROSS_CONFIG_MAX_PUBLISHED_VALUE
#define LENTILCROSS_CONFIG_MAX_PUBLISHED_VALUE 1048576
#endif

// Maximum decompressed configuration document. A document with 10,000 hosts
// takes 1.2 MB.
#ifndef LENTILCROSS_CONFIG_MAX_CONFIGURATION
#define LENTILCROSS_CONFIG_MAX_CONFIGURATION 4194304
#endif

// Number of recent configuration deltas kept for peers.
#ifndef LENTILCROSS_CONFIG_KEPT_DELTAS
#define LENTILCROSS_CONFIG_KEPT_DELTAS 256
#endif

// Maximum number of membership updates in one digest.
#ifndef LENTILCROSS_CONFIG_MAX_MEMBER_UPDATES
#define LENTILCROSS_CONFIG_MAX_MEMBER_UPDATES 16
#endif

// Capacity of a queue between two threads.
#ifndef LENTILCROSS_CONFIG_RING_CAPACITY
#define LENTILCROSS_CONFIG_RING_CAPACITY 1024
#endif

#ifndef LENTILCROSS_CONFIG_MAX_EXTRA_ATTEMPTS
#define LENTILCROSS_CONFIG_MAX_EXTRA_ATTEMPTS 16
#endif

// Maximum length of a list of headers, loans or service levels in a peer
// message. Covers the 470 services of the design size.
#ifndef LENTILCROSS_CONFIG_MAX_PEER_LIST
#define LENTILCROSS_CONFIG_MAX_PEER_LIST 1024
#endif

// Maximum number of hosts in the membership table; the design size is 10,000.
#ifndef LENTILCROSS_CONFIG_MAX_MEMBERS
#define LENTILCROSS_CONFIG_MAX_MEMBERS 16384
#endif

// Number of digests that carry each membership update. With two digests per
// second, an update reaches 10,000 hosts (2^13.3) with a wide margin.
#ifndef LENTILCROSS_CONFIG_MEMBER_UPDATE_SENDS
#define LENTILCROSS_CONFIG_MEMBER_UPDATE_SENDS 12
#endif

// Maximum length of a host, service, organisation, key or preset name.
#ifndef LENTILCROSS_CONFIG_MAX_NAME
#define LENTILCROSS_CONFIG_MAX_NAME 128
#endif

// Maximum number of findings listed for one document; the rest are only
// counted.
#ifndef LENTILCROSS_CONFIG_MAX_FINDINGS
#define LENTILCROSS_CONFIG_MAX_FINDINGS 1000
#endif

// Size of a piece of a configuration snapshot. Each piece is one peer message,
// so it must be less than the peer message size. Larger pieces delay calls on
// the same link.
#ifndef LENTILCROSS_CONFIG_SNAPSHOT_PIECE
#define LENTILCROSS_CONFIG_SNAPSHOT_PIECE 65536
#endif
