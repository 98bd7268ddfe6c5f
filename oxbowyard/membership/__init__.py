"""Membership of the group of schedulers: a gossip protocol without I/O, its messages, sockets and timer.

The protocol is SWIM with Lifeguard's extensions (docs/design/membership.md).

A member list is only a hint: it may be out of date, and it may be wrong about any member. Work that only one
process may do (a job that must not run twice, the ownership of a store) never depends on it.
"""
