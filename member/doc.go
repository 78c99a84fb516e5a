// Package member implements the membership of the entry hosts. Each host renews a
// lease by writing its own row of the platform's table, and reads the rows of the
// other hosts. The clocks of two machines are never compared: a member counts as
// failed once its row has not changed for a whole lease on the observer's own clock.
package member
