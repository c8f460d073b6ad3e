package comfreyworks

import (
	"encoding/binary"
	"errors"
)

// EnginePace reports the measured speed of an engine relative to the median of its
// pool, as one gateway or several have measured it.
type EnginePace struct {
	// Engine is the hash of the engine's incarnation.
	Engine uint32
	// Decode and Prefill are the logarithms of the speeds at which the engine generates
	// and reads tokens, in units of enginepace.Unit; zero means as fast as the median.
	Decode, Prefill int8
	// DecodeWeight and PrefillWeight are the numbers of measurements; zero means none.
	DecodeWeight, PrefillWeight uint8
}

// EnginePaces is a list of speeds that is encoded in few bytes.
type EnginePaces []EnginePace

// enginePaceBytes is the encoded size of one EnginePace.
const enginePaceBytes = 8

// GobEncode implements gob.GobEncoder.
func (p EnginePaces) GobEncode() ([]byte, error) {
	encoded := make([]byte, 0, len(p)*enginePaceBytes)
	for _, e := range p {
		encoded = binary.LittleEndian.AppendUint32(encoded, e.Engine)
		encoded = append(encoded, byte(e.Decode), byte(e.Prefill), e.DecodeWeight, e.PrefillWeight)
	}
	return encoded, nil
}

// GobDecode implements gob.GobDecoder. It returns an error if an entry is cut off.
func (p *EnginePaces) GobDecode(encoded []byte) error {
	if len(encoded)%enginePaceBytes != 0 {
		return errors.New("decode engine paces: entry cut off")
	}
	*p = make(EnginePaces, 0, len(encoded)/enginePaceBytes)
	for ; len(encoded) > 0; encoded = encoded[enginePaceBytes:] {
		*p = append(*p, EnginePace{
			Engine: binary.LittleEndian.Uint32(encoded),
			Decode: int8(encoded[4]), Prefill: int8(encoded[5]), DecodeWeight: encoded[6], PrefillWeight: encoded[7],
		})
	}
	return nil
}
