"""The daemon beside one upstream on a platform that holds the configuration.

A request passes `ingress` where its caller is and `egress` where the chosen
upstream is. The decisions in between are pure: `balancer`, `limiter`,
`retrybudget`, `trafficsplit`, `instance`.
"""
