// Package relay connects a daemon to backend servers that it can't reach, through another
// daemon that can. A relayed connection carries bytes: the daemon that has accepted a
// request remains the only one that dispatches it, and what holds for its connections holds
// for relayed ones, too.
//
// A connection is relayed over one daemon at most: a daemon relays to servers that it reaches
// itself.
package relay
