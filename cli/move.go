package cli

// moveOption holds the flag of the subcommands that can move the work of a team
// to other partitions.
type moveOption struct {
	Move bool `help:"Change Home or Shards although the team's work moves to partitions that know none of its request IDs."`
}

// queryPart returns the query parameter for the flag, with a leading ampersand,
// or "" if it is not set.
func (o moveOption) queryPart() string {
	if o.Move {
		return "&move"
	}
	return ""
}
