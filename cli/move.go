package cli

// moveOption is the flag of the commands that can move the work of a team to
// other partitions.
type moveOption struct {
	Move bool `help:"Change Home or Shards although the team's work moves to partitions that know none of its request IDs."`
}

// queryPart returns the part of a query that carries the flag.
func (o moveOption) queryPart() string {
	if o.Move {
		return "&move"
	}
	return ""
}
