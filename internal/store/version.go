package store

import (
	"fmt"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Version is a point in the history of the store. The store numbers its transactions, and gives numbers
// out again after it was restored from an older copy; its era then rises. A Version has the era in its
// upper bits and the number below it, so that versions of a later era are higher, whatever their numbers.
type Version int64

// numberBits is the number of bits of the transaction's number: 5 million transactions a second for
// 40 days. The other 19 are the era's.
const (
	numberBits = 44
	maxNumber  = 1<<numberBits - 1
	// MaxEra is the highest era that a Version can hold.
	MaxEra = 1<<(63-numberBits) - 1
)

// NewVersion returns the version of an era and a transaction number. It fails with StoreDown if they
// are out of range.
func NewVersion(era, number int64) (Version, error) {
	if era < 0 || era > MaxEra || number < 0 || number > maxNumber {
		return 0, failure.New(failure.StoreDown, "version %d of era %d is out of range", number, era)
	}
	return Version(era<<numberBits | number), nil
}

// Era returns the era.
func (v Version) Era() int64 { return int64(v) >> numberBits }

// Number returns the number that the store gave the transaction, which is unique within the era.
func (v Version) Number() int64 { return int64(v) & maxNumber }

// InEra returns the version with the same number in another era.
func (v Version) InEra(era int64) Version { return Version(era<<numberBits | v.Number()) }

// Start returns the version before the first transaction of the era.
func (v Version) Start() Version { return v &^ maxNumber }

func (v Version) String() string { return fmt.Sprintf("%d/%d", v.Era(), v.Number()) }
