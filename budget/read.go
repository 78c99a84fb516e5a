package budget

import "io"

const (
	// ReadCost is the memory that ReadAll takes for a byte while it reads, in bytes: a buffer that
	// grows has up to twice the size of what it holds.
	ReadCost = 2
	// minBufferBytes is the first size of a buffer. Most requests fit.
	minBufferBytes = 2 << 10
)

// ReadAll reads until the end into a buffer that doubles as bytes arrive. io.ReadAll allocates five
// times the size of a large body in total.
func ReadAll(r io.Reader) ([]byte, error) {
	buffer := make([]byte, 0, minBufferBytes)
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
